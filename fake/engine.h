#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "fake/sim.h"
#include "base/prog.h"

/* Stand-in for model engines and plain services; shared by the files fake/engine*.c. */
struct engine_settings {
	char *admin;
	char *declarations;
	int64_t link_delay_us;
	int64_t load_lag_ms;
	int64_t keep_s;
	int64_t prefill_divisor;
	int64_t service_ms;
};

/* What one port plays. */
struct engine_port {
	struct engine *engine;
	struct sim_endpoint *endpoint; /* NULL: a plain service */
	char *service;
	char *address;
	struct loop_fd listener;
	bool listening;
	uint16_t port;
	int reported_running; /* as served: lags */
	bool reported_leaving;
	bool drop;	  /* the next request runs, but its connection is cut before any answer */
	GPtrArray *calls; /* struct hd_call that are held while silent */
};

struct engine {
	struct engine_settings settings;
	struct loop loop;
	struct sim sim;
	struct conf_state *conf;
	struct hd *hd;
	struct hd *admin;
	struct tmr tick;
	int64_t sampled_us;
	int64_t swept_us;
	GPtrArray *ports;
	GHashTable *by_port;
	GPtrArray *late; /* struct engine_late: answers of plain services that are not due yet */
};

typedef void (*engine_fn)(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);

struct engine_route {
	const char *method;
	const char *prefix;
	engine_fn fn;
};

/* engine.c */
void engine_listen(struct engine_port *port);
void engine_unlisten(struct engine_port *port);
bool engine_dispatch(struct engine *engine, struct engine_port *port, struct hd_call *call,
		     const struct engine_route *routes, size_t n);

/* engine_model.c: what a model engine's port serves */
void engine_model_call(struct engine *engine, struct engine_port *port, struct hd_call *call);
void engine_error(struct hd_call *call, int status, const char *code);
void engine_on_changed(void *ctx, struct sim_run *run);
void engine_sweep(struct engine *engine, int64_t now_us);

/* Goes silent on all streams of the port that are open now. */
void engine_mute(struct engine *engine, const struct engine_port *port);

/* engine_service.c: plain services */
void engine_service_call(struct engine *engine, struct engine_port *port, struct hd_call *call);
void engine_answer_late(struct engine *engine, int64_t now_us);

/* engine_admin.c: ledger and faults */
void engine_admin_call(struct engine *engine, struct hd_call *call);

#endif
