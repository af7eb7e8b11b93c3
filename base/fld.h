#ifndef BASE_FLD_H
#define BASE_FLD_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Header fields of HTTP messages. What is read of a field and what can be sent of it is decided
 * here for all modules, so that no message is judged by a field that its receiver does not get.
 */

/* A field of a message. The texts belong to the line that it was read from. */
struct fld {
	struct str name;
	struct str value; /* without the blanks and tabs around it */
};

/* Whether the HTTP server can send a value. */
enum fld_state {
	FLD_SENDABLE,
	FLD_EMPTY, /* the HTTP library takes no field without a value */
	FLD_ODD	   /* has a control character other than a tab; a message must not have one */
};

/*
 * Reads a line "Name: value" without its end. Returns false if it is no field: a line that goes on
 * with the one before it, one without a colon, or with a name that is none, such as one with a
 * blank before the colon.
 */
bool fld_read(struct fld *fld, const char *line) G_GNUC_WARN_UNUSED_RESULT;

/* Returns whether the field has that name; the case of letters does not matter. */
bool fld_is_named(const struct fld *fld, const char *name);

/* Returns whether the name is one that a field may have. */
bool fld_is_name(struct str name);

enum fld_state fld_value_state(struct str value);

/* Returns whether the HTTP server can send a field with this name and value; both may be NULL. */
bool fld_can_send(const char *name, const char *value);

/* Reads a value that is a decimal number from 0 to G_MAXINT64. Returns false if it is none. */
bool fld_read_number(struct str value, guint64 *number) G_GNUC_WARN_UNUSED_RESULT;

G_END_DECLS

#endif
