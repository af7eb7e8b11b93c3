#ifndef CONF_CONF_INT_H
#define CONF_CONF_INT_H

#include "conf/conf.h"

G_BEGIN_DECLS

/* Type of an attribute's value. */
enum conf_attr_type {
	CONF_TYPE_NUMBER,    /* whole number between min and max of the attribute */
	CONF_TYPE_NAME,	     /* name, see conf_is_valid_name() */
	CONF_TYPE_MODELS,    /* comma-separated list of MODEL or MODEL@VERSION, or "*" */
	CONF_TYPE_ADDRESS,   /* IP:PORT */
	CONF_TYPE_ADDRESSES, /* comma-separated list of IP:PORT */
	CONF_TYPE_LAYERS,    /* FIRST-LAST, counted from 0 */
	CONF_TYPE_SECRET,    /* SALT:HASH */
	CONF_TYPE_YES_NO,    /* "yes" or "no" */
	CONF_TYPE_STATE	     /* "admitted" or "draining" */
};

/* Describes one attribute of a kind. */
struct conf_attr {
	const char *name;
	enum conf_attr_type type;
	const char *default_text; /* default value; NULL if the attribute must be given */
	int64_t min;		  /* smallest number allowed; only for CONF_TYPE_NUMBER */
	int64_t max;		  /* greatest number allowed; only for CONF_TYPE_NUMBER */
};

/* Describes one kind of object. */
struct conf_schema {
	const char *name; /* name of the kind in statements */
	const struct conf_attr *attrs;
	int attr_count;
};

/* One word of a statement. */
struct conf_word {
	struct str text;
	int column; /* column of its first byte, counted from 1 */
};

const struct conf_schema *conf_schema(enum conf_kind kind);

/*
 * Returns whether text is a valid name: 1 to CONF_NAME_MAX letters, digits, '.', '_' and '-'.
 */
bool conf_is_valid_name(struct str text);

/*
 * Parses text and sets one attribute of the object to it. Returns NULL, or a description of the
 * expected value if text is invalid.
 */
const char *conf_attr_set(struct conf_obj *obj, int attr, struct str text);

/* Returns an object with its default attributes; attributes without a default have no text yet. */
struct conf_obj *conf_obj_new(enum conf_kind kind, struct str name);
struct conf_obj *conf_obj_copy(const struct conf_obj *obj);
void conf_obj_free(struct conf_obj *obj);

/* Returns a deep copy, which may be changed until it is published. */
struct conf_state *conf_state_copy(const struct conf_state *state);

/*
 * Returns whether every object that obj refers to is declared and, for an endpoint, the model has
 * the endpoint's layers; else problem describes the error.
 */
bool conf_check_obj(const struct conf_state *state, const struct conf_obj *obj,
		    struct conf_problem *problem);

/* Checks every object of the state with conf_check_obj(). */
bool conf_check_state(const struct conf_state *state, struct conf_problem *problem);

G_END_DECLS

#endif
