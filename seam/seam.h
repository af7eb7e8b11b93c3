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
 * Interface between the router and the platform that it is deployed on. A platform is one value of
 * struct seam. The rest of the router doesn't know the names and formats that callers, endpoints,
 * engines and the store use. The functions of the interface translate between them and the router's
 * types and make no decisions.
 */

enum {
	/* Maximum number of parts of a prompt that are read; further ones are only forwarded. */
	SEAM_PARTS_MAX = 64
};

/* Request as a caller sent it. The strings belong to the struct. */
struct seam_request {
	char *id;	     /* id that the caller gave this attempt; NULL if none */
	char *host;	     /* host name that the caller asked for; "" if none */
	char *key;	     /* key of a client account; NULL if none */
	char *resume_after;  /* id of the last event that the caller received; NULL if none */
	int64_t deadline_ms; /* how long the caller waits, in milliseconds; -1 if not stated */
	double prompt;	     /* number of prompt tokens; 0 if not stated */
	double answer;	     /* maximum number of answer tokens; 0 if not stated */
	double hint;	     /* caller's estimate of the number of answer tokens; 0 if not stated */
	/*
	 * Ids of the parts of the prompt that other requests may share, in their order; owned, NULL
	 * if none. The last part is left out: it is the request's own, or its session's.
	 */
	uint64_t *parts;
	int n_parts;	    /* number of elements of parts, at most SEAM_PARTS_MAX */
	GPtrArray *headers; /* headers to forward, as "Name: value" strings */
};

/* Data that the router adds to a request when it forwards it to an endpoint. */
struct seam_forward {
	int64_t deadline_ms;	  /* time left until the deadline, in milliseconds; -1 if none */
	const char *instance;	  /* id of the endpoint that must serve the request */
	const char *account;	  /* name of the client account; NULL if none */
	const char *pipeline;	  /* stages as formatted by seam_wire.pipeline(); NULL if none */
	const char *resume_after; /* id of the event to resume after; NULL: as the caller sent it */
	int urgency;		  /* 0 (most urgent) to 9; -1 if not stated */
};

/*
 * Whether the head of an answer states a rate limit, which is the number of requests a second that
 * the endpoint accepts from all hosts together.
 */
enum seam_limit {
	SEAM_LIMIT_NONE,      /* no limit is stated; an earlier limit no longer applies */
	SEAM_LIMIT_STATED,    /* a limit is stated */
	SEAM_LIMIT_UNREADABLE /* a limit is stated but not readable; an earlier one still applies */
};

/* Whether the head of a rejection states a time in which this host must send no requests. */
enum seam_rest {
	SEAM_REST_NONE,	     /* no time is stated */
	SEAM_REST_STATED,    /* a time is stated */
	SEAM_REST_UNREADABLE /* a time is stated but not readable */
};

/* Head of an endpoint's answer. */
struct seam_answer {
	struct fwd_head head;
	char *culprit;	 /* address of the endpoint at fault; owned; NULL if not stated */
	char *type;	 /* content type; owned; NULL if none */
	GPtrArray *keep; /* headers to forward to the caller, names and values in turn; owned */
	bool has_load;	 /* whether running and waiting are stated */
	int running;	 /* number of requests that run at the endpoint */
	int waiting;	 /* number of requests that wait at the endpoint */
	enum seam_limit limit;
	double limit_rate;     /* rate limit in requests a second, for SEAM_LIMIT_STATED */
	int limit_value_count; /* number of stated rate limits; more than one is an endpoint's fault
				*/
	enum seam_rest rest;
	int64_t rest_us;      /* time without requests, in microseconds, for SEAM_REST_STATED */
	int rest_value_count; /* number of stated times; more than one is an endpoint's fault */
	bool leaving;	      /* the endpoint is shutting down */
	char *unknown;	      /* name of an unknown header of the platform; owned; NULL if none */
	char *lost;	      /* name of a header that can't be passed on; owned; NULL if none */
	int lost_count;	      /* number of such headers */
	bool lost_odd;	      /* one of them has a value, of odd characters */
};

/* Status that an engine reports about itself. */
struct seam_report {
	int64_t born_ms;    /* Unix time of the engine's start, in milliseconds; 0 if not stated */
	double pace;	    /* time of a token step, as a multiple of the usual time */
	bool busy;	    /* the engine is carrying out an order */
	int64_t sequence;   /* number of orders that the engine has started */
	int layer_from;	    /* first layer that the engine holds */
	int layer_to;	    /* layer after the last one that it holds */
	int running;	    /* number of requests that run at the engine */
	int waiting;	    /* number of requests that wait at the engine */
	double kv_used;	    /* used key-value cache, in tokens x layers */
	double kv_total;    /* size of the key-value cache, in tokens x layers */
	GPtrArray *stalled; /* requests blocked by another stage, as struct seam_stalled */
};

/* Request that waits for a pipeline stage that doesn't respond. */
struct seam_stalled {
	char *request; /* id of the request */
	char *culprit; /* address of the endpoint that doesn't respond */
};

/* One stage of a pipeline: an endpoint and the layers that it runs. */
struct seam_stage {
	const char *addr;
	int from; /* first layer */
	int to;	  /* layer after the last one */
};

/* Topics of the store. A topic keeps the newest record of each key. */
enum seam_topic {
	SEAM_TOPIC_CONF,	    /* configuration; the newest version, see conf_key() */
	SEAM_TOPIC_ENDPOINTS,	    /* endpoints by id */
	SEAM_TOPIC_HOSTS,	    /* this system's own hosts by name */
	SEAM_TOPIC_KNOWN_ENDPOINTS, /* last known list of endpoints, under a single key */
	SEAM_TOPIC_QUARANTINE,	    /* requests that crash endpoints, by digest */
	SEAM_TOPIC_COUNT
};

enum {
	/* Maximum size of one record, in bytes. */
	SEAM_RECORD_MAX = 262144
};

/* Callback that receives one record. value.data is NULL for a key that was removed. */
typedef void (*seam_record_fn)(void *ctx, int64_t offset, struct str key, struct str value);

/* Data about a topic that accompanies the records in an answer of the store. */
struct seam_read {
	int64_t end;   /* offset after the newest record of the topic */
	int64_t next;  /* offset after the last record in this answer */
	int64_t first; /* offset of the topic's oldest record */
	bool more;     /* the listing has more keys after the last one */
	char *last;    /* last key in this answer, after which to continue; owned */
};

/* Headers exchanged with callers and endpoints. */
struct seam_wire {
	/* Adds one header of a caller's request. Called for each header in turn. */
	void (*read_header)(struct seam_request *request, const char *name, const char *value);

	/*
	 * Returns the headers to send to an endpoint as "Name: value" strings, including those of
	 * the caller's request; free with g_ptr_array_unref().
	 */
	GPtrArray *(*make_headers)(const struct seam_request *request,
				   const struct seam_forward *forward);

	/* Parses the header lines of an answer to the request with the given id. */
	void (*read_answer)(int status, const GPtrArray *lines, const char *request_id,
			    struct seam_answer *answer);

	/* Name of the header that tells a caller when to retry. */
	const char *(*retry_header_name)(void);

	/* Value of that header for a delay, in the platform's unit; free with g_free(). */
	char *(*retry_header_value)(int64_t delay_us);

	/* Path at which a host answers whether it is ready for requests. */
	const char *(*ready_path)(void);

	/* Formats the stages of a pipeline for seam_forward.pipeline; free with g_free(). */
	char *(*pipeline)(const struct seam_stage *stages, int n);
};

/* Parsers for the configuration and the endpoints that the platform declares. */
struct seam_decl {
	/* Returns the configuration, or NULL with the reason in error, to be freed by g_free(). */
	struct rt_conf *(*read_conf)(struct str text, char **error);

	/* Returns the endpoint's record, or NULL with the reason in error, to be freed by g_free().
	 */
	struct ep_rec *(*read_endpoint)(const char *id, struct str text, char **error);
};

/* Requests to the store and parsers for its answers. Returned strings are freed with g_free(). */
struct seam_store {
	/* Returns the store's era that an answer states, or ERA_NONE. */
	int64_t (*read_era)(const GPtrArray *headers);

	/* Key under which SEAM_TOPIC_CONF has the configuration; the topic may have others. */
	const char *(*conf_key)(void);

	/* Path, with query, that lists the newest record of each key; after may be NULL. */
	char *(*newest_path)(enum seam_topic topic, const char *after);

	/* Path, with query, that reads records from an offset, waiting up to wait_ms for one. */
	char *(*read_path)(enum seam_topic topic, int64_t from, int64_t wait_ms);

	/* Path, with query, that appends records to a topic. */
	char *(*append_path)(enum seam_topic topic);

	/* Path that joins the group of make_join(). */
	char *(*join_path)(void);

	/*
	 * Parse the answers to newest_path() and read_path() and call fn for each record. Return 0,
	 * or -1 if the answer is malformed. Free read->last with g_free().
	 */
	int (*parse_newest)(struct str body, seam_record_fn fn, void *ctx, struct seam_read *read);
	int (*parse_read)(struct str body, int64_t from, seam_record_fn fn, void *ctx,
			  struct seam_read *read);

	/* Returns a record to append. If value.data is NULL, the record removes the key. */
	GString *(*make_record)(const char *key, struct str value);

	/*
	 * Returns the body of a request by which a host joins, or remains in, the group whose only
	 * leader is the placer. A host that doesn't join again within ttl_ms leaves it. generation
	 * is the newest one of the group that the host knows.
	 */
	char *(*make_join)(const char *host, int64_t ttl_ms, int64_t generation);

	/* Parses the answer to a join. Returns 0, or -1 if the answer is malformed. */
	int (*parse_join)(struct str body, int64_t *generation, bool *leader);

	/* Path that leaves the group, so that another host becomes the leader at once. */
	char *(*leave_path)(void);

	/* Returns the body of a request by which a host leaves the group. */
	char *(*make_leave)(const char *host);
};

/* Reports of engines and orders to them. Returned strings are freed with g_free(). */
struct seam_engine {
	/* Path at which an engine answers with its report. */
	const char *(*report_path)(void);

	/* Path to which orders are sent. */
	const char *(*order_path)(void);

	/* Parses a report. Returns 0, or -1 if it is malformed. */
	int (*parse_report)(struct str body, struct seam_report *report);

	/*
	 * Returns an order to hold the layers from..to-1. fence is the placer's fencing token. The
	 * engine refuses the order unless the number of orders that it has started is expect.
	 */
	char *(*make_place)(int from, int to, int64_t fence, int64_t expect);

	/*
	 * Returns an order to continue a request on another pipeline, or NULL if the request's id
	 * can't stand in an order: it is NULL or no UTF-8 text. fence is a fencing token.
	 */
	char *(*make_repath)(const char *request, const char *pipeline, int64_t fence);

	/* Returns the address of the endpoint that caused the refusal of an order, or NULL. */
	char *(*parse_refusal)(struct str body);
};

/* All functions of one platform. */
struct seam {
	struct seam_wire wire;
	struct seam_decl decl;
	struct seam_store store;
	struct seam_engine engine;
};

/* Initialize a request, and free what belongs to a request, an answer or a report. */
void seam_request_init(struct seam_request *request);
void seam_request_finish(struct seam_request *request);
void seam_answer_finish(struct seam_answer *answer);
void seam_report_finish(struct seam_report *report);

G_END_DECLS

#endif
