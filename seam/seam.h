#ifndef SEAM_SEAM_H
#define SEAM_SEAM_H

#include "base/str.h"
#include "ep/ep.h"
#include "era/era.h"
#include "fwd/fwd.h"
#include "rt/rt.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Where a deployment's own names and formats meet the router's types. A deployment is one value of
 * struct seam; nothing else of the router knows how callers, endpoints, engines or the store spell
 * things. The functions translate and decide nothing.
 */

/* A request as a caller sent it. All texts belong to the struct. */
struct seam_request {
	char *id;	     /* of this attempt of the caller; NULL: none */
	char *host;	     /* the caller asked for; "" if none */
	char *key;	     /* of a client account; NULL: none */
	char *resume_after;  /* id of the last event that the caller has; NULL: none */
	int64_t deadline_ms; /* how long the caller waits; -1: not stated */
	double prompt;	     /* tokens to read; 0: not stated */
	double answer;	     /* tokens to write at most; 0: not stated */
	double hint;	     /* tokens to write, as the caller guesses; 0: not stated */
	GPtrArray *headers;  /* "Name: value", those to hand on */
};

/* What the router adds to a request that it hands on. */
struct seam_forward {
	int64_t deadline_ms;	  /* what is left; -1: none */
	const char *instance;	  /* the endpoint that must serve it */
	const char *account;	  /* NULL: none */
	const char *pipeline;	  /* from pipeline(); NULL: none */
	const char *resume_after; /* NULL: as the caller sent it */
	int urgency;		  /* 0 (first) to 9; -1: not stated */
};

/* What the head of an answer says of the requests that its endpoint takes from all hosts. */
enum seam_limit {
	SEAM_LIMIT_NONE, /* nothing: there is no limit, or no more */
	SEAM_LIMIT_RATE,
	SEAM_LIMIT_UNREADABLE /* there is one, but not how much; what was known of it holds */
};

/* What the head of a rejection says of the time in which the endpoint wants nothing of this host.
 */
enum seam_rest {
	SEAM_REST_NONE,
	SEAM_REST_FOR,
	SEAM_REST_UNREADABLE
};

/* The head of an endpoint's answer. Texts are valid as long as the header lines. */
struct seam_answer {
	struct fwd_head head;
	char *culprit;	 /* address of the endpoint that was at fault; owned; NULL: not stated */
	char *type;	 /* of the content; owned; NULL */
	GPtrArray *keep; /* "Name: value" to hand on; owned */
	bool has_load;
	int running;
	int waiting;
	enum seam_limit limit;
	double limit_rate; /* requests a second */
	int limit_values;  /* that were named; more than one is a fault of the endpoint's */
	enum seam_rest rest;
	int64_t rest_us;
	int rest_values; /* as limit_values */
	bool leaving;
	char *unknown; /* a header by which the deployment tells something new; owned; NULL: none */
};

/* What an engine reports of itself. */
struct seam_report {
	int64_t born_ms;  /* Unix time of the engine's start; 0: not told */
	double pace;	  /* time of a step as a multiple of what is usual */
	bool busy;	  /* with an order */
	int64_t sequence; /* orders that it has begun */
	int layer_from;
	int layer_to;
	int running;
	int waiting;
	double kv_used; /* tokens x layers */
	double kv_total;
	GPtrArray *stalled; /* struct seam_stalled */
};

/* A request that waits for a stage that does not answer. */
struct seam_stalled {
	char *request;
	char *culprit; /* address */
};

/* One stage of a pipeline. */
struct seam_stage {
	const char *addr;
	int from;
	int to;
};

enum seam_topic {
	SEAM_CONF,	 /* the configuration; its only key holds the newest one */
	SEAM_ENDPOINTS,	 /* endpoints by id */
	SEAM_HOSTS,	 /* this system's own hosts by name */
	SEAM_KNOWN,	 /* one key: the endpoints as this system last knew them; see recall.c */
	SEAM_QUARANTINE, /* requests that crash endpoints, by digest; see quar_note.c */
	SEAM_TOPICS_N
};

enum {
	SEAM_RECORD_MAX = 262144 /* bytes of one record that the store takes */
};

/* value.data is NULL for a key that was removed. */
typedef void (*seam_record_fn)(void *ctx, int64_t offset, struct str key, struct str value);

/* What an answer to a read of a topic says besides the records. */
struct seam_read {
	int64_t end;   /* offset after the newest record of the topic */
	int64_t next;  /* offset after the last record in this answer */
	int64_t first; /* offset of the oldest */
	bool more;     /* a listing goes on after the last key */
	char *last;    /* key to go on after; owned */
};

struct seam_wire {
	/* headers of a caller's request, one by one; then seam_request is whole. */
	void (*read_header)(struct seam_request *request, const char *name, const char *value);

	/* "Name: value" lines to send, with those of the request; free with g_ptr_array_unref(). */
	GPtrArray *(*make_headers)(const struct seam_request *request,
				   const struct seam_forward *forward);

	void (*read_answer)(int status, const GPtrArray *lines, const char *request_id,
			    struct seam_answer *answer);

	/* Header that tells when to come back, in a unit of the deployment's. */
	const char *(*retry_name)(void);
	char *(*retry_value)(int64_t delay_us);

	const char *(*ready_path)(void);
	char *(*pipeline)(const struct seam_stage *stages, int n);
};

struct seam_decl {
	/* Returns the configuration, or NULL with a reason in error (g_free()). */
	struct rt_conf *(*read_conf)(struct str text, char **error);

	/* Returns the endpoint's record, or NULL with a reason. */
	struct ep_rec *(*read_endpoint)(const char *id, struct str text, char **error);
};

struct seam_store {
	/* The store's era as an answer tells it; ERA_NONE: it tells none. */
	int64_t (*read_era)(const GPtrArray *headers);

	/* Paths with query; free with g_free(). */
	char *(*newest_path)(enum seam_topic topic, const char *after);
	char *(*read_path)(enum seam_topic topic, int64_t from, int64_t wait_ms);
	char *(*append_path)(enum seam_topic topic);
	char *(*join_path)(void);

	/* Records in an answer; 0 or -1 with a reason. read.last must be freed. */
	int (*parse_newest)(struct str body, seam_record_fn fn, void *ctx, struct seam_read *read);
	int (*parse_read)(struct str body, int64_t from, seam_record_fn fn, void *ctx,
			  struct seam_read *read);

	/* value.data: NULL removes the key. */
	GString *(*make_record)(const char *key, struct str value);

	/* Joining the group whose one leader is the placer. */
	char *(*make_join)(const char *host, int64_t ttl_ms, int64_t generation);
	int (*parse_join)(struct str body, int64_t *generation, bool *leader);

	/* Leaving it, so that another one leads at once. */
	char *(*leave_path)(void);
	char *(*make_leave)(const char *host);
};

struct seam_engine {
	const char *(*report_path)(void);
	const char *(*order_path)(void);
	int (*parse_report)(struct str body, struct seam_report *report);
	char *(*make_place)(int from, int to, int64_t fence, int64_t expect);
	char *(*make_repath)(const char *request, const char *pipeline, int64_t fence);

	/* The endpoint that a refused order names as the reason; NULL: none. */
	char *(*parse_refusal)(struct str body);
};

struct seam {
	struct seam_wire wire;
	struct seam_decl decl;
	struct seam_store store;
	struct seam_engine engine;
};

void seam_request_init(struct seam_request *request);
void seam_request_finish(struct seam_request *request);
void seam_answer_finish(struct seam_answer *answer);
void seam_report_finish(struct seam_report *report);

G_END_DECLS

#endif
