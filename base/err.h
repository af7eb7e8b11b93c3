#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Error numbers of the base layer. Each higher layer has its own range of numbers, below these, and
 * maps the errors of a lower layer to its own numbers.
 */
enum base_err {
	BASE_OK = 0,
	BASE_ESYS = -1,	     /* a system call failed; errno has the cause */
	BASE_EADDR = -2,     /* the text is not an address of the form IP:PORT */
	BASE_EFRAME = -3,    /* the frame is too long, malformed or of an unknown kind */
	BASE_ECLOSED = -4,   /* the peer closed the connection */
	BASE_ESILENT = -5,   /* the peer sent nothing within the time limit */
	BASE_EREFUSED = -6,  /* the peer refused the connection */
	BASE_EHTTP = -7,     /* the HTTP library reported another failure */
	BASE_ETIMEOUT = -8,  /* the response did not arrive within the time limit */
	BASE_EFILE = -9,     /* the settings file can't be read */
	BASE_ESETTING = -10, /* the settings file is invalid */
	BASE_EFULL = -11,    /* more bytes would wait to be sent than allowed */
	BASE_EENDLESS = -12  /* the response has more bytes than one may have */
};

/* Returns a description of err, a value of enum base_err; never NULL. */
const char *base_strerror(int err);

G_END_DECLS

#endif
