#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The configuration: what operators have declared. A declaration is one statement,
 *   KIND NAME [ATTRIBUTE VALUE]...
 * and a change is a list of statements that is accepted or rejected as a whole.
 */
enum conf_err {
	CONF_ESYNTAX = -100,	/* a statement is not well formed */
	CONF_EREFERENCE = -101, /* a statement names something that is not declared */
	CONF_ECONFLICT = -102,	/* the expected revision is not the current one */
	CONF_ERECORD = -103,	/* a log record is not one of ours */
	CONF_EGAP = -104	/* records are missing and no snapshot covers them */
};

enum conf_kind {
	CONF_ACCOUNT,
	CONF_OPERATOR,
	CONF_MODEL,
	CONF_ENDPOINT,
	CONF_LINK,
	CONF_SERVICE,
	CONF_HOST,
	CONF_KIND_COUNT
};

/* Attributes of each kind, in the order of the schema in conf.c. */
enum conf_account_attr {
	ACCOUNT_SHARE,	/* weight in the fair division */
	ACCOUNT_MODELS, /* list of MODEL or MODEL@VERSION, or "*" */
	ACCOUNT_LIMIT,	/* requests in flight at most, over one pool */
	ACCOUNT_QUEUE,	/* requests waiting at most, at one home */
	ACCOUNT_MAX_TOKENS,
	ACCOUNT_TOKEN /* SALT:HASH of the bearer token */
};

enum conf_operator_attr {
	OPERATOR_TOKEN
};

enum conf_model_attr {
	MODEL_LAYERS,
	MODEL_VERSION,
	MODEL_ACTIVATION /* bytes that cross a link for a token */
};

enum conf_endpoint_attr {
	ENDPOINT_ADDRESS,
	ENDPOINT_POOL,
	ENDPOINT_ZONE, /* availability zone */
	ENDPOINT_MODEL,
	ENDPOINT_VERSION,
	ENDPOINT_LAYERS, /* FIRST-LAST, counted from 0, both included */
	ENDPOINT_RATE,	 /* tokens a second at these layers */
	ENDPOINT_SLOTS,	 /* requests that it batches */
	ENDPOINT_KIND,	 /* kind of accelerator */
	ENDPOINT_FENCING,
	ENDPOINT_STATE
};

enum conf_link_attr {
	LINK_FROM,
	LINK_TO,
	LINK_BANDWIDTH /* bytes a second */
};

enum conf_service_attr {
	SERVICE_ADDRESS,
	SERVICE_IDEMPOTENT
};

enum conf_host_attr {
	HOST_STATE
};

enum {
	CONF_ATTR_MAX = 12,
	CONF_NAME_MAX = 63
};

struct conf_obj {
	enum conf_kind kind;
	char *name;
	char *text[CONF_ATTR_MAX];    /* canonical text of each attribute */
	int64_t value[CONF_ATTR_MAX]; /* of numbers; 1 or 0 of yes and no; first layer of a range */
	int64_t last_layer;	      /* of an endpoint */
};

/* Immutable once published; shared by reference. */
struct conf_state {
	int refs;
	GTree *objs[CONF_KIND_COUNT]; /* name -> struct conf_obj, in order of name */
};

/* Where a statement is wrong. line and column count from 1; 0 when they do not apply. */
struct conf_problem {
	int line;
	int column;
	char text[200];
};

struct conf_state *conf_state_new(void);
struct conf_state *conf_state_ref(struct conf_state *state);
void conf_state_unref(struct conf_state *state);

/* Returns the object or NULL. */
const struct conf_obj *conf_get(const struct conf_state *state, enum conf_kind kind,
				const char *name);
guint conf_count(const struct conf_state *state, enum conf_kind kind);

/* Whether state has the object with the same attributes. */
bool conf_obj_same(const struct conf_state *state, const struct conf_obj *obj);

typedef void (*conf_each_fn)(void *ctx, const struct conf_obj *obj);
void conf_each(const struct conf_state *state, enum conf_kind kind, conf_each_fn fn, void *ctx);

/*
 * Returns a new state with the statements applied, or NULL with the problem filled in: then nothing
 * of them counts.
 */
struct conf_state *conf_apply(const struct conf_state *state, struct str statements,
			      struct conf_problem *problem, int *err);

/* Appends the state as statements, in an order in which they can be applied to an empty state. */
void conf_export(const struct conf_state *state, GString *out);

/* Appends the statements that turn one state into the other. */
void conf_diff(const struct conf_state *from, const struct conf_state *to, GString *out);

/* Whether the account's list allows a version of a model. */
bool conf_may_use(const struct conf_obj *account, const char *model, const char *version);

const char *conf_kind_name(enum conf_kind kind);

/* Returns the kind of that name or CONF_KIND_COUNT. */
enum conf_kind conf_kind_of(struct str name);

/* Name of an attribute, or NULL past the last. */
const char *conf_attr_name(enum conf_kind kind, int attr);

/* Makes SALT:HASH of a secret (HMAC-SHA256, keyed by the salt); g_free() it. */
char *conf_secret_hash(const char *salt, const char *secret);

/* Compares in a time that does not depend on where the two differ. */
bool conf_secret_matches(const char *salted_hash, const char *secret);

const char *conf_strerror(int err);

G_END_DECLS

#endif
