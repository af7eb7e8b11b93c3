#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Errors of the base layer. Each slice has a range of its own, below these, and turns what it gets
 * from a lower layer into its own numbers.
 */
enum base_err {
	BASE_OK = 0,
	BASE_ESYS = -1,	    /* a system call failed; errno tells */
	BASE_EADDR = -2,    /* not an address of the form IP:PORT */
	BASE_EFRAME = -3,   /* frame over its size, malformed or of an unknown kind */
	BASE_ECLOSED = -4,  /* the peer closed the connection */
	BASE_ESILENT = -5,  /* the peer sent nothing for the silence limit */
	BASE_EREFUSED = -6, /* the peer refused the connection */
	BASE_EHTTP = -7,    /* the HTTP library failed */
	BASE_ETIMEOUT = -8, /* no answer in time */
	BASE_EFILE = -9,    /* a settings file could not be read */
	BASE_ESETTING = -10 /* a settings file is wrong */
};

/* Returns a sentence for an enum base_err; never NULL. */
const char *base_strerror(int err);

G_END_DECLS

#endif
