#ifndef CONF_CONF_INT_H
#define CONF_CONF_INT_H

#include "conf/conf.h"

G_BEGIN_DECLS

enum conf_type {
	CONF_TYPE_NUMBER,
	CONF_TYPE_WORD,
	CONF_TYPE_LIST,
	CONF_TYPE_ADDRESS,
	CONF_TYPE_ADDRESSES,
	CONF_TYPE_LAYERS,
	CONF_TYPE_SECRET,
	CONF_TYPE_YES_NO,
	CONF_TYPE_STATE
};

struct conf_attr {
	const char *name;
	enum conf_type type;
	const char *initial; /* NULL: must be given */
	int64_t min;
	int64_t max;
};

struct conf_schema {
	const char *name;
	const struct conf_attr *attrs;
	int attr_count;
};

/* One word of a statement and where it stands. */
struct conf_word {
	struct str text;
	int column;
};

const struct conf_schema *conf_schema(enum conf_kind kind);

/* Whether text may be a name: letters, digits, '.', '_' and '-'. */
bool conf_is_word(struct str text);

/* Sets one attribute from text. Returns NULL or what was expected. */
const char *conf_attr_set(struct conf_obj *obj, int attr, struct str text);

struct conf_obj *conf_obj_new(enum conf_kind kind, struct str name);
struct conf_obj *conf_obj_copy(const struct conf_obj *obj);
void conf_obj_free(struct conf_obj *obj);

/* A copy that may be changed until it is published. */
struct conf_state *conf_state_copy(const struct conf_state *state);

/* Whether every name that obj refers to is declared and fits. */
bool conf_check(const struct conf_state *state, const struct conf_obj *obj,
		struct conf_problem *problem);
bool conf_check_all(const struct conf_state *state, struct conf_problem *problem);

G_END_DECLS

#endif
