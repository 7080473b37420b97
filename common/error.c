#include "common/error.h"

const char *
dks_strerror (int error)
{
  switch (error)
    {
    case DKS_OK:
      return "success";
    case DKS_ERR_INVALID:
      return "invalid input";
    case DKS_ERR_NOT_FOUND:
      return "not found";
    case DKS_ERR_CONFLICT:
      return "conflict";
    case DKS_ERR_TOO_LARGE:
      return "too large";
    case DKS_ERR_UNAVAILABLE:
      return "unavailable";
    case DKS_ERR_TIMEOUT:
      return "timed out";
    case DKS_ERR_NO_MEMORY:
      return "out of memory";
    case DKS_ERR_IO:
      return "input/output error";
    default:
      return "unknown error";
    }
}
