#ifndef PROG_LOAD_H
#define PROG_LOAD_H

#include "base/hc.h"
#include "base/loop.h"
#include "conf/conf.h"
#include "base/prog.h"

/* bgload: open-loop or closed-loop load, and what became of it. */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000
};

struct load_settings {
	char *entries;	/* addresses with commas between */
	char *accounts; /* NAME=TOKEN with commas between */
	char *rates;	/* requests a second of each account, or clients if closed */
	char *tokens;	/* answer lengths: least-most of each account */
	char *model;
	char *declarations; /* of the endpoints, for calls without the router */
	char *service;
	char *out; /* prefix of the result files; empty: none */
	int64_t closed;
	int64_t direct; /* percent of requests that go to the engine directly */
	int64_t service_percent;
	int64_t once_percent; /* of the requests that are non-idempotent */
	int64_t prompt_chars;
	int64_t duration_ms;
	int64_t drain_ms;
	int64_t deadline_ms;
	int64_t seed;
	int64_t retry; /* how often to ask again, at the next entry host, after anything but success
			*/
};

enum load_path {
	LOAD_ROUTER,
	LOAD_DIRECT,
	LOAD_PATH_COUNT
};

enum load_result {
	LOAD_OK,
	LOAD_REFUSED, /* said not to have run, with when to come back */
	LOAD_FAILED,  /* any other end */
	LOAD_RESULT_COUNT
};

struct load_account {
	char *name;
	char *token;
	double rate;
	int64_t least;
	int64_t most;
	struct tmr next;
	struct load *load;
	guint entry_turn;
	uint64_t by_second[4096]; /* tokens received in each second */
};

/* Totals of one account on one path. */
struct load_total {
	uint64_t results[LOAD_RESULT_COUNT];
	uint64_t tokens;
	uint64_t order_errors; /* tokens out of order, doubled or missing */
	GArray *first_us;
	GArray *gap_us;
	GArray *all_us;
};

struct load_call {
	struct load *load;
	struct load_account *account;
	enum load_path path;
	uint64_t id;
	bool service;
	bool once; /* non-idempotent, with a key that stays the same when it is asked again */
	int tries;
	uint64_t want;
	uint64_t got;
	int64_t start_us;
	int64_t last_us;
	int64_t first_us;
	bool done;  /* the end mark was seen */
	bool error; /* an error event was seen */
	GString *sse;
	struct hc_call *hc;
	struct tmr retry;
};

struct load {
	struct load_settings settings;
	struct loop loop;
	struct hc *hc;
	struct conf_state *conf;
	GPtrArray *entries;
	GPtrArray *accounts;
	GPtrArray *routes; /* two names each: first and second stage, for direct calls */
	GRand *rand;
	GString *csv;
	struct load_total *totals; /* accounts x paths */
	GHashTable *codes;	   /* error code -> count */
	uint64_t last_id;
	uint64_t open;
	int64_t start_us;
	bool ending;
	struct tmr end;
	struct tmr progress;
};

struct load_total *load_total(struct load *load, guint account, enum load_path path);

/* Prints the table and writes the result files. Returns false if anything was out of order. */
bool load_report(struct load *load);

#endif
