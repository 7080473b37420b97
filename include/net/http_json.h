/**
 * JSON bodies of the HTTP interface, as described in docs/design.md. Decoders check all of their
 * untrusted input; encoders return malloc'ed strings and accept text that is not valid UTF-8.
 */
#ifndef DKS_NET_HTTP_JSON_H
#define DKS_NET_HTTP_JSON_H

#include "core/event.h"
#include "core/settings.h"

/** Range of the field deadline_ms of a submission, counted from its arrival. */
enum
{
  DKS_DEADLINE_MIN_MS = 10,
  DKS_DEADLINE_MAX_MS = 3600000
};

/** What decoding a submission needs besides its body. */
typedef struct
{
  bool single;                 /**< body of /v1/requests, else of /v1/jobs */
  int64_t arrival_wall_ms;     /**< time of arrival of the request, Unix ms */
  int64_t deadline_default_ms; /**< used when the body gives no deadline */
} dks_http_json_context_t;

/** Fields of an application/problem+json body. */
typedef struct
{
  const char *name; /**< last part of the problem type, e.g. "queue-full" */
  int status;
  const char *detail;         /**< may be NULL or empty */
  const char *key;            /**< may be NULL or empty */
  dks_outcome_t outcome;      /**< 0: not known, left out; REFUSED adds "not_run": true */
  uint32_t retry_after_ms;    /**< 0: no advice, left out */
  const dks_answer_t *answer; /**< its failed tasks are listed; may be NULL */
} dks_http_problem_t;

/** Decodes the body of a submission; its key and issue time are left unset. Returns
 * DKS_ERR_INVALID, or DKS_ERR_TOO_LARGE for too many tasks or too large a payload; `detail` then
 * says which field is wrong. */
int dks_http_json_decode_submission (const void *body, size_t len,
                                     const dks_http_json_context_t *context,
                                     dks_submission_t **submission, char detail[DKS_TEXT_SIZE]);
/** Decodes the body of a settings edit, {"value":N} or {"name":NAME,"value":N}. Returns
 * DKS_ERR_INVALID with `detail` for anything else.
 * `name` is empty when it is not given. */
int dks_http_json_decode_edit (const void *body, size_t len, char name[DKS_NAME_SIZE],
                               int64_t *value, char detail[DKS_TEXT_SIZE]);
/** Whether `text` is valid UTF-8 without control characters. */
bool dks_http_json_is_text (const char *text);

/** Encodes an answer: {"key","outcome"} and for a complete answer "results", or "result" when
 * `single`. A result that is not valid UTF-8 is {"result_base64"} in the list, or "result_base64"
 * when `single`. */
char *dks_http_json_encode_answer (const dks_answer_t *answer, bool single);
/** Encodes an application/problem+json body. */
char *dks_http_json_encode_problem (const dks_http_problem_t *problem);
/** Encodes the outcome of a settings edit: {"version","instances_total","instances_in_force",
 * "missing"}. `effect` is a DKS_EFFECT_EDIT_REPLY. */
char *dks_http_json_encode_edit_reply (const dks_effect_t *effect);
/** Encodes the settings in force at `path`: {"path","version","values"}; `values` has only the
 * setting `name` unless `name` is NULL. */
char *dks_http_json_encode_effective (const char *path, const char *name, int64_t version,
                                      const dks_settings_values_t *values);
/** Encodes the audit trail of the settings: {"version","history":[...]}, oldest change first. */
char *dks_http_json_encode_audit (const dks_settings_t *settings);
/** Whether the settings tree has a setting called `name`. */
bool dks_http_json_is_setting (const char *name);

#endif
