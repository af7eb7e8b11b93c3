#ifndef RT_RT_H
#define RT_RT_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Routing configuration: the routes, services and client accounts of one configuration version. A
 * configuration is built once, is immutable afterwards, and is shared between threads by reference
 * count. The functions do no input or output and read no clock.
 */

/* How a route's requests are answered and whether they may run again. */
enum rt_type {
	RT_IDEMPOTENT,	   /* may run more than once */
	RT_NON_IDEMPOTENT, /* may run at most once */
	RT_STREAMING /* answered by a stream of events; may run at most once unless resumable */
};

/* Share of a route's requests that one service receives. */
struct rt_split {
	char *service;	/* name of the service */
	int64_t weight; /* share of the requests, relative to the sum of the route's weights */
};

/* Rules for the requests to one host name and path prefix. */
struct rt_route {
	char *name;
	char *host;   /* host name that callers ask for, in lower case */
	char *prefix; /* prefix of the request's path; begins and ends with a slash */
	enum rt_type type;
	GArray *splits;		   /* services of the route, as struct rt_split */
	int64_t timeout_ms;	   /* longest time until a request ends, in ms; 0 if unlimited */
	int64_t target_latency_ms; /* target time until the answer or its first event, in ms; 0:
				      none */
	int64_t target_gap_ms;	   /* target for the longest pause between events, in ms; 0: none */
	int64_t priority;	   /* priority of the requests; 0 is the most urgent */
	int64_t attempts;	   /* maximum number of endpoints that one request is sent to */
	bool public_access;	   /* requests need no account key */
	bool resumable;		   /* an interrupted stream may be resumed at another endpoint */
};

/* Type of accelerator that endpoints of a service run on. */
struct rt_accelerator {
	char *name;
	double memory_mb; /* memory for layers and contexts, in megabytes */
	double pace;	  /* time of a token step, as a multiple of rt_engine.step_ms */
	double read_pace; /* time per prompt token, as a multiple of 1 /
			     rt_engine.prompt_tokens_per_ms */
};

/* One-way network delay between two availability zones. */
struct rt_delay {
	char *from; /* name of one availability zone */
	char *to;   /* name of the other availability zone */
	double ms;  /* delay in milliseconds */
};

/* Performance data of a service's engines, which run a model in pipelines of stages. */
struct rt_engine {
	int layers;	 /* number of layers of the model; 0 if endpoints aren't engines */
	double layer_mb; /* size of one layer's weights, in megabytes */
	double kv_bytes; /* key-value cache of one token over all layers, in bytes */
	double activation_bytes_per_token; /* data sent from stage to stage for each token, in bytes
					    */
	double link_mbps;		   /* bandwidth of one endpoint's network link, in Mbit/s */
	double zone_link_mbps;	/* total bandwidth between two availability zones, in Mbit/s */
	int slots;		/* number of requests that the first stage of a pipeline accepts */
	double step_ms;		/* time of a token step of the whole model at pace 1, in ms */
	double step_ms_per_seq; /* added time of a step for each request in the batch, in ms */
	double step_ms_per_context_ktoken; /* added time of a step per 1,000 context tokens, in ms
					    */
	double prompt_tokens_per_ms; /* prompt tokens processed per ms by the model at pace 1 */
	int stride;		     /* number of token steps between two events of a stream */
	double mean_prompt_tokens;   /* mean number of tokens of a prompt; 0 if unknown */
	double mean_answer_tokens;   /* mean number of tokens of an answer; 0 if unknown */
	GArray *kinds;		     /* types of accelerators, as struct rt_accelerator */
	GArray *delays;		     /* delays between availability zones, as struct rt_delay */
};

/* Service that endpoints provide. */
struct rt_service {
	char *name;
	char *health_path; /* path that the endpoints answer without running a request */
	struct rt_engine engine;
	/* Distinct priorities of the service's streaming routes, as int64_t, most urgent first. */
	GArray *stream_priorities;
	/* Shortest target_gap_ms of the service's streaming routes, in ms; 0: none has one. */
	int64_t stream_gap_ms;
};

/* Client account. */
struct rt_account {
	char *name;
	int64_t priority; /* 0 is the most urgent; RT_NO_PRIORITY selects the route's priority */
};

enum {
	/* Priority of an account that has none of its own. */
	RT_NO_PRIORITY = -1
};

/* Limits on callers' connections. */
struct rt_limits {
	int64_t max_head_bytes; /* maximum size of a request line, and of headers, in bytes */
	int64_t max_body_bytes; /* maximum size of a request body, in bytes */
	int64_t idle_ms;	/* time after which an idle connection is closed, in milliseconds */
	int64_t head_ms;	/* time that the head of a request may take, in milliseconds */
};

/* One version of the routing configuration. */
struct rt_conf {
	int64_t version;
	GPtrArray *routes;    /* all routes, as struct rt_route, longest prefix first */
	GHashTable *by_host;  /* host name -> GPtrArray of routes, longest prefix first */
	GHashTable *services; /* name -> struct rt_service */
	GPtrArray *accounts;  /* all accounts, as struct rt_account */
	GHashTable *keys;     /* account key -> struct rt_account */
	struct rt_limits limits;
	gint refs; /* number of references */
};

/* Returns an empty configuration with one reference. */
struct rt_conf *rt_conf_new(int64_t version);

/* Adds and removes a reference. The last rt_conf_unref() frees the configuration. */
struct rt_conf *rt_conf_ref(struct rt_conf *conf);
void rt_conf_unref(struct rt_conf *conf);

/*
 * Functions that add an element while a configuration is built. The configuration owns the returned
 * element.
 */
struct rt_route *rt_add_route(struct rt_conf *conf, const char *name, const char *host,
			      const char *prefix);
void rt_add_split(struct rt_route *route, const char *service, int64_t weight);
struct rt_service *rt_add_service(struct rt_conf *conf, const char *name);
struct rt_accelerator *rt_add_accelerator(struct rt_service *service, const char *name);
void rt_add_delay(struct rt_service *service, const char *from, const char *to, double ms);
struct rt_account *rt_add_account(struct rt_conf *conf, const char *name);
void rt_add_key(struct rt_conf *conf, struct rt_account *account, const char *key);

/* Builds the index of routes by host. Must be called once, after the last route was added. */
void rt_conf_index_routes(struct rt_conf *conf);

/*
 * Returns the host's route with the longest prefix that matches the path, or NULL. A port number in
 * host is ignored.
 */
const struct rt_route *rt_match_route(const struct rt_conf *conf, const char *host,
				      const char *path);

/* Returns the account that the key belongs to, or NULL. */
const struct rt_account *rt_find_account(const struct rt_conf *conf, const char *key);

/*
 * Selects a service of the route in proportion to the weights. The result is always the same for
 * the same request id. Returns NULL if the route has no weights or the service doesn't exist.
 */
const struct rt_service *rt_select_service(const struct rt_conf *conf, const struct rt_route *route,
					   const char *request_id);

/* Returns whether the service's endpoints are engines that hold ranges of a model's layers. */
bool rt_is_layered(const struct rt_service *service);

/* Returns the type of accelerator with that name, or NULL. */
const struct rt_accelerator *rt_find_accelerator(const struct rt_service *service,
						 const char *name);

/* Returns the one-way delay between two availability zones in ms; 0 within one zone. */
double rt_delay_ms(const struct rt_service *service, const char *from, const char *to);

/*
 * Returns how many of the service's streaming routes' distinct priorities are more urgent than the
 * given one. The result is from 0 to the number of distinct priorities, also for a priority that no
 * route declares.
 */
int rt_priority_rank(const struct rt_service *service, int64_t priority);

/* Returns whether a request on the route may run more than once. */
bool rt_may_repeat(const struct rt_route *route);

G_END_DECLS

#endif
