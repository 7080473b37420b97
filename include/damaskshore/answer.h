/**
 * Answers of an instance: their exit codes and output.
 */
#ifndef DKS_DAMASKSHORE_ANSWER_H
#define DKS_DAMASKSHORE_ANSWER_H

#include "damaskshore/client.h"

#include <jansson.h>

/** Whether `body` was written by an instance, rather than by a load balancer in front of it. */
bool dks_reply_is_from_instance (const json_t *body);
/** Exit code of an answer about a submission: that of its field "outcome", but DKS_EXIT_NOT_FOUND
 * for the problem "not-found". Without an outcome, DKS_EXIT_REFUSED when an instance rejected the
 * request as invalid (400, 405, 413), else DKS_EXIT_UNKNOWN. */
dks_exit_t dks_answer_exit (int status, const json_t *body);
/** Exit code of the HTTP status of a reply that is not about a submission. */
dks_exit_t dks_reply_exit (int status);
/** Writes an answer about the submission `key`. `task_count` is the expected number of results, or
 * 0 when not known. Returns the exit code; DKS_EXIT_UNKNOWN for an answer that cannot be parsed or
 * whose number of results differs from `task_count`. */
dks_exit_t dks_answer_print (dks_cli_t *cli, const char *key, const dks_client_reply_t *reply,
                             uint32_t task_count);
/** Writes the problem in `reply` to `err`, or its body to `out` with --json. Returns the exit code
 * of the HTTP status. */
dks_exit_t dks_problem_print (dks_cli_t *cli, const dks_client_reply_t *reply);
/** Writes the recorded changes of `path`, or all of them when it is NULL: with --json as an array,
 * else one line "VERSION TIME ACTOR PATH NAME FROM TO" each. */
void dks_changes_print (dks_cli_t *cli, const json_t *changes, const char *path);
/** Parses the body of a reply; NULL and a message on `err` when it is not JSON. */
json_t *dks_reply_json (dks_cli_t *cli, const dks_client_reply_t *reply);
/** Writes `value` as one line of JSON. */
void dks_json_print (dks_cli_t *cli, const json_t *value);

#endif
