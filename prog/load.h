#ifndef PROG_LOAD_H
#define PROG_LOAD_H

#include "base/hc.h"
#include "base/loop.h"
#include "conf/conf.h"
#include "base/prog.h"

/* bgload: generates open-loop or closed-loop load and measures the results. */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000
};

/*
 * Section "load" of the settings file. The lists rates and tokens have one item for each account;
 * an account without an item of its own uses the last one.
 */
struct load_settings {
	char *entries;	    /* comma-separated addresses (IP:PORT) of entry hosts */
	char *accounts;	    /* comma-separated client accounts, each NAME=TOKEN */
	char *rates;	    /* comma-separated rates, as in struct load_account */
	char *tokens;	    /* comma-separated ranges of the answer length in tokens, MIN-MAX */
	char *model;	    /* name of the model that is requested */
	char *declarations; /* path of a file that declares the endpoints of direct calls */
	char *service;	    /* name of the service for calls at /svc/NAME; empty: no such calls */
	char *out;	    /* path prefix of the result files; empty: no files are written */
	int64_t closed; /* 1: closed loop, where each client waits for its answer; 0: open loop */
	int64_t direct; /* share of requests sent directly to an engine, in percent */
	int64_t service_percent; /* share of the other requests sent to the service, in percent */
	int64_t once_percent; /* share of the model requests that are non-idempotent, in percent */
	int64_t prompt_chars; /* length of a prompt in characters */
	int64_t duration_ms;  /* time in which requests are started, in milliseconds */
	int64_t drain_ms;    /* longest wait for open requests after duration_ms, in milliseconds */
	int64_t deadline_ms; /* longest time of one attempt at a request, in milliseconds */
	int64_t seed;	     /* seed of the random numbers */
	int64_t retry; /* number of retries of a failed request, each at the next entry host */
};

/* How a request reaches the engines. */
enum load_path {
	LOAD_ROUTER, /* through an entry host */
	LOAD_DIRECT, /* directly to the engine of the first layers */
	LOAD_PATH_COUNT
};

/* Result of one attempt at a request. */
enum load_result {
	LOAD_OK,      /* complete answer */
	LOAD_REFUSED, /* status 429 or 503: the request was not run and may be retried */
	LOAD_FAILED,  /* any other result */
	LOAD_RESULT_COUNT
};

/* A client account that sends requests. */
struct load_account {
	char *name;  /* name of the client account */
	char *token; /* bearer token */
	double rate; /* requests per second (open loop), or number of clients (closed loop) */
	int64_t min_tokens;	  /* smallest answer length in tokens */
	int64_t max_tokens;	  /* largest answer length in tokens */
	struct tmr arrival_timer; /* starts the next request of an open loop */
	struct load *load;
	guint next_entry;		 /* running index into load->entries, for round robin */
	uint64_t tokens_by_second[4096]; /* tokens received in each second of the run */
};

/* Totals of one account on one path. */
struct load_total {
	uint64_t results[LOAD_RESULT_COUNT]; /* number of attempts with each result */
	uint64_t tokens;		     /* number of tokens received */
	uint64_t order_errors;	/* number of tokens that were not the expected next one */
	GArray *first_token_us; /* int64_t, times to first token, in microseconds */
	GArray *token_gap_us;	/* int64_t, times between consecutive tokens, in microseconds */
	GArray *duration_us;	/* int64_t, durations of successful attempts, in microseconds */
};

/* One request, with all its retries. Counts and times are those of the current attempt. */
struct load_call {
	struct load *load;
	struct load_account *account;
	enum load_path path;
	uint64_t id;		  /* number of the request, from 1 */
	bool service;		  /* the request goes to /svc/NAME rather than to the model */
	bool non_idempotent;	  /* sent with an idempotency key, the same for every retry */
	int retries;		  /* number of retries so far */
	uint64_t expected_tokens; /* number of tokens requested */
	uint64_t received_tokens; /* number of tokens received */
	int64_t start_us;	  /* time of sending, monotonic clock, in microseconds */
	int64_t last_token_us;	  /* time of the latest token; start_us before the first one */
	int64_t first_token_us;	  /* time from sending to the first token; 0: none yet */
	bool done;		  /* the end mark of the stream was received */
	bool error;		  /* an error event was received */
	GString *sse_buffer;	  /* received bytes that are not processed yet */
	struct hc_call *hc;	  /* HTTP call of the current attempt */
	struct tmr retry_timer;	  /* starts the next retry */
};

/* State of the whole run. */
struct load {
	struct load_settings settings;
	struct loop loop;
	struct hc *hc;
	struct conf_state *conf;     /* declarations for direct calls; NULL: none */
	GPtrArray *entries;	     /* char *, addresses (IP:PORT) of entry hosts */
	GPtrArray *accounts;	     /* struct load_account */
	GPtrArray *direct_endpoints; /* names in pairs: endpoints of first and second stage */
	GRand *rand;
	GString *csv;		   /* text of the CSV result file, one line for each attempt */
	struct load_total *totals; /* totals by account and path; see load_get_total() */
	GHashTable *error_counts;  /* number of failed attempts by "STATUS CODE" */
	uint64_t last_id;	   /* number of requests started; id of the latest one */
	uint64_t open_calls;	   /* number of requests without a final result */
	int64_t start_us;	   /* start of the run, monotonic clock, in microseconds */
	bool stopping;		   /* no new requests are started */
	struct tmr end_timer;	   /* expires after duration_ms, and again after drain_ms */
	struct tmr progress_timer; /* prints the next progress line */
};

/* Returns the totals of an account, given by its index, on a path. */
struct load_total *load_get_total(struct load *load, guint account, enum load_path path);

/*
 * Prints the table and writes the result files. Returns false if tokens were out of order,
 * duplicated or missing.
 */
bool load_report(struct load *load);

#endif
