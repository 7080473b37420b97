#include "damaskshore/client.h"

#include "common/alloc.h"
#include "common/error.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

enum
{
  CONNECT_TIMEOUT_MS = 3000,
  GET_TIMEOUT_MS = 10000, /* of the whole exchange, including the connection */
  /* Idle time before the first TCP keep-alive probe, and interval of the probes. With 3 probes, a
   * server that disappeared is detected after 5 s + 3 x 5 s without an answer. */
  KEEPALIVE_INTERVAL_S = 5,
  REPLY_SIZE_MAX = 512 << 20 /* bytes of the body of a reply */
};

typedef struct
{
  dks_client_reply_t *reply;
  size_t capacity;
  bool too_large;
} reader_t;

typedef struct
{
  dks_cli_t *cli;
  const char *text;
  int64_t start_s;
  int64_t shown_s; /* waiting time in the progress line, 0 when there is no line */
} progress_t;

static size_t
handle_body (char *data, size_t size, size_t count, void *context)
{
  reader_t *reader = context;
  dks_client_reply_t *reply = reader->reply;
  size_t len = size * count;

  if (len > REPLY_SIZE_MAX - reply->len)
    {
      reader->too_large = true;
      return 0;
    }
  if (reply->len + len + 1 > reader->capacity)
    {
      reader->capacity = 2 * (reply->len + len + 1);
      reply->body = dks_realloc (reply->body, reader->capacity);
    }
  memcpy (reply->body + reply->len, data, len);
  reply->len += len;
  reply->body[reply->len] = '\0';
  return len;
}

static size_t
handle_header (char *data, size_t size, size_t count, void *context)
{
  static const char name[] = "Retry-After:";
  reader_t *reader = context;
  size_t len = size * count;
  char value[24];
  size_t value_len;

  if (len > sizeof (name) && strncasecmp (data, name, sizeof (name) - 1) == 0)
    {
      const char *start = data + sizeof (name) - 1;

      value_len = len - (sizeof (name) - 1);
      while (value_len > 0 && *start == ' ')
        {
          start++;
          value_len--;
        }
      if (value_len < sizeof (value))
        {
          memcpy (value, start, value_len);
          value[value_len] = '\0';
          value[strcspn (value, "\r\n")] = '\0';
          if (dks_cli_parse_integer (value, 0, INT32_MAX, &reader->reply->retry_after_s) != DKS_OK)
            reader->reply->retry_after_s = -1;
        }
    }
  return len;
}

static int64_t
now_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec;
}

static int
handle_progress (void *context, curl_off_t download_total, curl_off_t downloaded,
                 curl_off_t upload_total, curl_off_t uploaded)
{
  progress_t *progress = context;
  int64_t waited_s = now_s () - progress->start_s;

  if (waited_s == progress->shown_s)
    return 0;
  progress->shown_s = waited_s;
  fprintf (progress->cli->err, "\r%s: waiting for %lld s\033[K", progress->text,
           (long long)waited_s);
  fflush (progress->cli->err);
  return 0;
}

static int
handle_socket (void *context, curl_socket_t fd, curlsocktype purpose)
{
  int probes = 3;

  /* Without TCP_KEEPCNT the system's default of 9 probes applies, so a failure here only delays the
   * detection of a lost server. */
  (void)setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof (probes));
  return CURL_SOCKOPT_OK;
}

static struct curl_slist *
create_headers (const dks_client_request_t *request)
{
  /* An empty "Expect" keeps curl from waiting for "100 Continue" before a large body. */
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");

  if (request->body != NULL)
    list = curl_slist_append (list, "Content-Type: application/json");
  for (size_t i = 0; request->headers != NULL && request->headers[i] != NULL; i++)
    list = curl_slist_append (list, request->headers[i]);
  DKS_INVARIANT (list != NULL);
  return list;
}

/* Error number of a failed transfer. DKS_ERR_UNAVAILABLE, which means that the request was
 * certainly not sent, is returned only for failures before the first byte of the request. */
static int
transfer_error (CURL *curl, CURLcode code, const reader_t *reader)
{
  curl_off_t sent_us = 0;

  if (reader->too_large)
    return DKS_ERR_TOO_LARGE;
  switch (code)
    {
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
    case CURLE_SSL_CONNECT_ERROR:
    case CURLE_PEER_FAILED_VERIFICATION:
      return DKS_ERR_UNAVAILABLE;
    default:
      break;
    }
  if (curl_easy_getinfo (curl, CURLINFO_PRETRANSFER_TIME_T, &sent_us) == CURLE_OK && sent_us == 0)
    return DKS_ERR_UNAVAILABLE;
  return code == CURLE_OPERATION_TIMEDOUT ? DKS_ERR_TIMEOUT : DKS_ERR_IO;
}

int
dks_client_call_server (dks_cli_t *cli, const char *server, const dks_client_request_t *request,
                        dks_client_reply_t *reply)
{
  reader_t reader = { .reply = reply };
  progress_t progress = { .cli = cli, .text = request->progress, .start_s = now_s () };
  char error_text[CURL_ERROR_SIZE] = "";
  size_t url_size = strlen (server) + strlen (request->path) + 1;
  char *url = dks_alloc (url_size);
  struct curl_slist *headers = create_headers (request);
  CURL *curl = curl_easy_init ();
  CURLcode code;
  long status = 0;
  int error = DKS_OK;

  DKS_INVARIANT (curl != NULL);
  *reply = (dks_client_reply_t){ .retry_after_s = -1, .body = dks_alloc (1) };
  snprintf (url, url_size, "%s%s", server, request->path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  /* Instances are addressed directly; a proxy from the user's environment cannot reach them. */
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  /* The server checks paths; curl would remove the segments "." and "..". */
  curl_easy_setopt (curl, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_USERAGENT, "damaskshore/" DKS_VERSION);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (curl, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, handle_socket);
  curl_easy_setopt (curl, CURLOPT_ERRORBUFFER, error_text);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &reader);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &reader);
  if (request->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)strlen (request->body));
    }
  if (cli->progress && request->progress != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
      curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, handle_progress);
      curl_easy_setopt (curl, CURLOPT_XFERINFODATA, &progress);
    }
  code = curl_easy_perform (curl);
  if (progress.shown_s > 0)
    fputs ("\r\033[K", cli->err);
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      reply->status = (int)status;
    }
  else
    {
      error = transfer_error (curl, code, &reader);
      dks_cli_error (cli, "%s: %s%s", server,
                     error_text[0] != '\0' ? error_text : curl_easy_strerror (code),
                     error == DKS_ERR_UNAVAILABLE ? " (nothing was sent)" : "");
      dks_client_reply_clear (reply);
    }
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  free (url);
  return error;
}

int
dks_client_call (dks_cli_t *cli, const dks_client_request_t *request, dks_client_reply_t *reply)
{
  bool is_get = strcmp (request->method, "GET") == 0;
  int error = DKS_ERR_UNAVAILABLE;

  *reply = (dks_client_reply_t){ .retry_after_s = -1 };
  for (size_t i = 0; i < cli->server_count; i++)
    {
      error = dks_client_call_server (cli, cli->servers[i], request, reply);
      if (error == DKS_OK || (error != DKS_ERR_UNAVAILABLE && !is_get))
        break;
    }
  /* A GET has no effect, so its outcome is not in doubt when the request failed at every server. */
  if (error != DKS_OK && is_get)
    error = DKS_ERR_UNAVAILABLE;
  return error;
}

int
dks_client_get (dks_cli_t *cli, const char *path, dks_client_reply_t *reply)
{
  const dks_client_request_t request = { .method = "GET",
                                         .path = path,
                                         .timeout_ms = GET_TIMEOUT_MS };

  return dks_client_call (cli, &request, reply);
}

void
dks_client_reply_clear (dks_client_reply_t *reply)
{
  free (reply->body);
  reply->body = NULL;
  reply->len = 0;
}

dks_exit_t
dks_client_exit (int error)
{
  return error == DKS_ERR_UNAVAILABLE ? DKS_EXIT_UNREACHABLE : DKS_EXIT_UNKNOWN;
}

char *
dks_client_path (const char *prefix, const char *text)
{
  static const char unreserved[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  size_t len = strlen (prefix);
  size_t size = len + 3 * strlen (text) + 1;
  char *path = dks_alloc (size);

  dks_strcpy (path, size, prefix);
  for (; *text != '\0'; text++)
    {
      if (strchr (unreserved, *text) != NULL)
        path[len++] = *text;
      else
        len += (size_t)snprintf (path + len, 4, "%%%02X", (unsigned char)*text);
    }
  return path;
}
