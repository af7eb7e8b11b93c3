#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The configuration, as declared by operators. A declaration is one statement,
 *   KIND NAME [ATTRIBUTE VALUE]...
 * and a change is a list of statements that is accepted or rejected as a whole.
 */

/* Errors of the configuration module. */
enum conf_err {
	CONF_ESYNTAX = -100,	/* a statement is not well formed */
	CONF_EREFERENCE = -101, /* a declared object refers to an undeclared object or layer */
	CONF_ECONFLICT = -102,	/* the expected revision is not the current one */
	CONF_ERECORD = -103,	/* a log record is malformed */
	CONF_EGAP = -104	/* log records have expired and no snapshot covers them */
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

/* The attributes of each kind are indices into its table in conf/schema.c. */

/* Attributes of a client account. */
enum conf_account_attr {
	ACCOUNT_SHARE,	    /* weight of the account in fair queueing */
	ACCOUNT_MODELS,	    /* models allowed: comma-separated MODEL or MODEL@VERSION, or "*" */
	ACCOUNT_LIMIT,	    /* maximum number of requests in flight in one pool */
	ACCOUNT_QUEUE,	    /* maximum number of requests waiting in one pool's queue */
	ACCOUNT_MAX_TOKENS, /* maximum number of tokens that a request may ask for */
	ACCOUNT_TOKEN	    /* SALT:HASH of the bearer token */
};

/* Attributes of an operator. */
enum conf_operator_attr {
	OPERATOR_TOKEN /* SALT:HASH of the bearer token */
};

/* Attributes of a model. */
enum conf_model_attr {
	MODEL_LAYERS,	 /* number of layers */
	MODEL_VERSION,	 /* name of the version */
	MODEL_ACTIVATION /* bytes sent from one pipeline stage to the next for each token */
};

/* Attributes of an endpoint. */
enum conf_endpoint_attr {
	ENDPOINT_ADDRESS, /* IP:PORT */
	ENDPOINT_POOL,	  /* name of the pool that the endpoint belongs to */
	ENDPOINT_ZONE,	  /* availability zone */
	ENDPOINT_MODEL,	  /* name of the model that the endpoint serves */
	ENDPOINT_VERSION, /* version of that model */
	ENDPOINT_LAYERS,  /* layers held: FIRST-LAST, counted from 0, both included */
	ENDPOINT_RATE,	  /* throughput over these layers, in tokens per second */
	ENDPOINT_SLOTS,	  /* maximum number of requests in one batch */
	ENDPOINT_KIND,	  /* kind of accelerator */
	ENDPOINT_FENCING, /* "yes" if the endpoint checks fencing numbers, else "no" */
	ENDPOINT_STATE	  /* "admitted" or "draining" */
};

/* Attributes of a network link between two endpoints. */
enum conf_link_attr {
	LINK_FROM,     /* name of the sending endpoint */
	LINK_TO,       /* name of the receiving endpoint */
	LINK_BANDWIDTH /* bytes per second */
};

/* Attributes of a plain HTTP service. */
enum conf_service_attr {
	SERVICE_ADDRESS,   /* comma-separated list of IP:PORT */
	SERVICE_IDEMPOTENT /* "yes" if every request to the service may be repeated, else "no" */
};

/* Attributes of a host. */
enum conf_host_attr {
	HOST_STATE /* "admitted" or "draining" */
};

enum {
	CONF_ATTR_MAX = 12, /* maximum number of attributes of a kind */
	CONF_NAME_MAX = 63  /* maximum length of a name, in bytes, without the NUL */
};

/* One declared object. */
struct conf_obj {
	enum conf_kind kind;
	char *name;
	char *text[CONF_ATTR_MAX]; /* text of each attribute as declared, or its default */
	/*
	 * Value of each attribute that is a number; 1 for "yes" and "draining", 0 for "no" and
	 * "admitted"; first layer of a range of layers; else 0.
	 */
	int64_t value[CONF_ATTR_MAX];
	int64_t last_layer; /* last layer that an endpoint holds; 0 for other kinds */
};

/* All declared objects. A state is immutable once published, and is shared by reference. */
struct conf_state {
	int refs;		      /* number of references */
	GTree *objs[CONF_KIND_COUNT]; /* for each kind: name -> struct conf_obj, sorted by name */
};

/* Describes an error in a statement and its location. */
struct conf_problem {
	int line;	/* line of the statement, counted from 1; 0 if not applicable */
	int column;	/* column in that line, in bytes, counted from 1; 0 if not applicable */
	char text[200]; /* error message */
};

/* Returns an empty state with one reference. */
struct conf_state *conf_state_new(void);

/* Adds a reference to the state and returns it. */
struct conf_state *conf_state_ref(struct conf_state *state);

/* Drops a reference; the state is freed with the last one. state may be NULL. */
void conf_state_unref(struct conf_state *state);

/* Returns the object of that kind and name, or NULL if it is not declared. */
const struct conf_obj *conf_get(const struct conf_state *state, enum conf_kind kind,
				const char *name);

/* Returns the number of objects of a kind. */
guint conf_count(const struct conf_state *state, enum conf_kind kind);

/* Returns whether state holds an object of the same kind, name and attributes as obj. */
bool conf_state_has_same_obj(const struct conf_state *state, const struct conf_obj *obj);

/* Calls fn for each object of a kind, in order of name. */
typedef void (*conf_visit_fn)(void *ctx, const struct conf_obj *obj);
void conf_for_each(const struct conf_state *state, enum conf_kind kind, conf_visit_fn fn,
		   void *ctx);

/*
 * Returns a new state with all statements applied, or NULL if one of them is invalid; err and
 * problem then describe the first error. state itself is never changed.
 */
struct conf_state *conf_apply(const struct conf_state *state, struct str statements,
			      struct conf_problem *problem, int *err);

/* Appends the state to out as statements that rebuild it when applied to an empty state. */
void conf_export(const struct conf_state *state, GString *out);

/* Appends to out the statements that change the state from into the state to. */
void conf_diff(const struct conf_state *from, const struct conf_state *to, GString *out);

/* Returns whether the account may use this version of the model. */
bool conf_account_allows_model(const struct conf_obj *account, const char *model,
			       const char *version);

/* Returns the name of a kind as written in statements, such as "endpoint". */
const char *conf_kind_name(enum conf_kind kind);

/* Returns the kind of that name, or CONF_KIND_COUNT if there is none. */
enum conf_kind conf_kind_from_name(struct str name);

/* Returns the name of an attribute, or NULL if attr is beyond the last attribute of the kind. */
const char *conf_attr_name(enum conf_kind kind, int attr);

/* Returns SALT:HASH of a secret (HMAC-SHA256, keyed by the salt); freed with g_free(). */
char *conf_secret_hash(const char *salt, const char *secret);

/*
 * Returns whether secret has the given SALT:HASH. The comparison takes the same time wherever the
 * hashes differ, so that its duration reveals nothing about the stored hash.
 */
bool conf_secret_matches(const char *salted_hash, const char *secret);

/* Returns the message of an error of enum conf_err. */
const char *conf_strerror(int err);

G_END_DECLS

#endif
