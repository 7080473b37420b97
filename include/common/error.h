/**
 * Error numbers. Functions that can fail return 0 or one of these negative values.
 */
#ifndef DKS_COMMON_ERROR_H
#define DKS_COMMON_ERROR_H

typedef enum
{
  DKS_OK = 0,
  DKS_ERR_INVALID = -1,     /**< malformed or out-of-range input */
  DKS_ERR_NOT_FOUND = -2,   /**< no such key, path or object */
  DKS_ERR_CONFLICT = -3,    /**< compare-and-swap found another version, or content differs */
  DKS_ERR_TOO_LARGE = -4,   /**< input exceeds a documented bound */
  DKS_ERR_UNAVAILABLE = -5, /**< peer, target or platform cannot be reached */
  DKS_ERR_TIMEOUT = -6,     /**< no reply in time; the request may have taken effect */
  DKS_ERR_NO_MEMORY = -7,
  DKS_ERR_IO = -8,
} dks_error_t;

/** Returns a short static text for `error`, for logs and messages. */
const char *dks_strerror (int error);

#endif
