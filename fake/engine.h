#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "fake/sim.h"
#include "base/lsn.h"
#include "base/prog.h"

/* Simulated model engines and plain services; shared by the files fake/engine*.c. */
struct engine_settings {
	char *admin;		 /* listening address of the admin interface */
	char *declarations;	 /* path of the file that declares endpoints and services */
	int64_t link_delay_us;	 /* delay of a token after each stage, in microseconds */
	int64_t load_lag_ms;	 /* interval between samples of the load, in milliseconds */
	int64_t keep_s;		 /* time for which an ended run can be resumed, in seconds */
	int64_t prefill_divisor; /* prompt tokens that cost as much as one generated token */
	int64_t service_ms;	 /* response time of a plain service, in milliseconds */
};

/* Listening port of one simulated endpoint or service. */
struct engine_port {
	struct engine *engine;
	struct sim_endpoint *endpoint; /* NULL if the port serves a plain service */
	char *service;		       /* name of the plain service; NULL for a model endpoint */
	char *address;		       /* listening address, as IP:PORT */
	struct lsn listener;
	uint16_t port;	       /* TCP port number in host byte order */
	int reported_running;  /* number of runs at the last load sample */
	bool reported_leaving; /* whether the endpoint was leaving at the last load sample */
	bool drop_next;	  /* the next request runs, but its connection is closed before any response
			   */
	GPtrArray *calls; /* struct hd_call received while the endpoint is silent */
};

struct engine {
	struct engine_settings settings;
	struct loop loop;
	struct sim sim;
	struct conf_state *conf;    /* contents of the declarations file */
	struct hd *hd;		    /* HTTP server of the endpoints and services */
	struct hd *admin;	    /* HTTP server of the admin interface */
	struct tmr tick;	    /* periodic timer */
	int64_t sampled_us;	    /* time of the last load sample, in microseconds */
	int64_t swept_us;	    /* time of the last sweep of the runs, in microseconds */
	GPtrArray *ports;	    /* struct engine_port */
	GHashTable *by_port;	    /* port number -> struct engine_port */
	GPtrArray *delayed_replies; /* struct engine_delayed_reply of plain services */
};

/* Handles a request; rest is the part of its path after the prefix of the route. */
typedef void (*engine_fn)(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);

/* Handler of the requests with a method and a path that begins with a prefix. */
struct engine_route {
	const char *method;
	const char *prefix;
	engine_fn fn;
};

/* engine.c: listening sockets and routing; a socket that can't be opened ends the process */
void engine_listen(struct engine_port *port);

/* Calls the handler of the first matching route; returns false if none matches. */
bool engine_dispatch(struct engine *engine, struct engine_port *port, struct hd_call *call,
		     const struct engine_route *routes, size_t n);

/* engine_model.c: HTTP interface of a model endpoint */
void engine_handle_model_call(struct engine *engine, struct engine_port *port,
			      struct hd_call *call);

/* Replies that the request was not executed, with an error code. */
void engine_reply_error(struct hd_call *call, int status, const char *code);

/* Sends the new tokens of a run to its streams and closes them if it has ended. */
void engine_on_run_changed(void *ctx, struct sim_run *run);

/* Cancels runs that have lost all callers and removes ended runs that have expired. */
void engine_sweep_runs(struct engine *engine, int64_t now_us);

/* Stops sending on all open streams of the port without closing them. */
void engine_mute_streams(struct engine *engine, const struct engine_port *port);

/* engine_service.c: plain services */
void engine_handle_service_call(struct engine *engine, struct engine_port *port,
				struct hd_call *call);

/* Sends the delayed replies whose time has come. */
void engine_send_due_replies(struct engine *engine, int64_t now_us);

/* engine_admin.c: admin interface with the ledger, statistics and fault injection */
void engine_handle_admin_call(struct engine *engine, struct hd_call *call);

#endif
