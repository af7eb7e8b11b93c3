#include "base/err.h"

static const char *const base_messages[] = {
	[-BASE_OK] = "no error",
	[-BASE_ESYS] = "system call failed",
	[-BASE_EADDR] = "not an address of the form IP:PORT",
	[-BASE_EFRAME] = "bad frame",
	[-BASE_ECLOSED] = "connection closed by peer",
	[-BASE_ESILENT] = "connection silent",
	[-BASE_EREFUSED] = "connection refused",
	[-BASE_EHTTP] = "HTTP library failed",
	[-BASE_ETIMEOUT] = "timed out",
	[-BASE_EFILE] = "settings file cannot be read",
	[-BASE_ESETTING] = "settings file is wrong",
	[-BASE_EFULL] = "too many bytes unsent",
	[-BASE_EENDLESS] = "response without end",
};

const char *base_strerror(int err)
{
	if (err > 0 || -err >= (int)G_N_ELEMENTS(base_messages))
		return "unknown error";
	return base_messages[-err];
}
