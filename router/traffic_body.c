#include "router/traffic_body.h"
#include "back/back.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/rnd.h"
#include "router/bodies.h"

#include <stdio.h>
#include <string.h>

enum {
	/* deadline of a request that states none, in milliseconds */
	TRAF_BODY_DEADLINE_MS = 60000,
	TRAF_BODY_LOG_MS = 1000, /* shortest time between two lines of traf_body_log_refused() */
	STATUS_TIMEOUT = 408,
	STATUS_HEAD_TOO_LARGE = 431,
	STATUS_UNAVAILABLE = 503
};

struct traf_body {
	pthread_mutex_t lock; /* guards the fields below */
	uint64_t setting;     /* bound by the settings, in bytes */
	struct bodies_limits limits;
	struct bk back;			   /* bodies that were received or refused of late */
	uint32_t seed;			   /* state of the random number generator */
	int64_t refused[HD_REFUSED_COUNT]; /* refusals since the last log line, by reason */
	int64_t log_us;			   /* time from which on the next line is logged */
};

static const char *const traf_body_whys[HD_REFUSED_COUNT] = {
	[HD_REFUSED_FULL] = "full",
	[HD_REFUSED_SLOW] = "slow",
	[HD_REFUSED_HEAD] = "head",
};

struct traf_body *traf_body_new(uint64_t total_max, uint64_t body_max, uint32_t seed)
{
	struct traf_body *body = g_new0(struct traf_body, 1);

	pthread_mutex_init(&body->lock, NULL);
	body->setting = total_max;
	body->seed = seed;
	bodies_limits_init(&body->limits, total_max, body_max);
	return body;
}

static void traf_body_log_raised(uint64_t total_max, uint64_t body_max)
{
	jl_begin(JL_UNLIMITED, "body_total_raised");
	jl_int("body_max", (int64_t)body_max);
	jl_int("total", (int64_t)total_max);
	jl_end();
}

void traf_body_set_max(struct traf_body *body, uint64_t body_max)
{
	uint64_t before;
	uint64_t total_max;

	pthread_mutex_lock(&body->lock);
	before = body->limits.total_max;
	bodies_limits_init(&body->limits, body->setting, body_max);
	total_max = body->limits.total_max;
	pthread_mutex_unlock(&body->lock);
	if (total_max != before && total_max > body->setting)
		traf_body_log_raised(total_max, body_max);
}

uint64_t traf_body_total_max(struct traf_body *body)
{
	uint64_t total_max;

	pthread_mutex_lock(&body->lock);
	total_max = body->limits.total_max;
	pthread_mutex_unlock(&body->lock);
	return total_max;
}

void traf_body_on_received(struct traf_body *body, int64_t now_us)
{
	pthread_mutex_lock(&body->lock);
	bk_on_served(&body->back, now_us);
	pthread_mutex_unlock(&body->lock);
}

/* Logs bodies that were refused since the last such line, at most once a second. */
static void traf_body_log_refused(struct traf_body *body, uint64_t held, int64_t now_us)
{
	int64_t refused[HD_REFUSED_COUNT] = {0};
	int64_t total = 0;

	pthread_mutex_lock(&body->lock);
	if (now_us >= body->log_us) {
		memcpy(refused, body->refused, sizeof(refused));
		memset(body->refused, 0, sizeof(body->refused));
	}
	pthread_mutex_unlock(&body->lock);
	for (int why = 0; why < HD_REFUSED_COUNT; why++)
		total += refused[why];
	if (total == 0)
		return;
	body->log_us = now_us + tmr_from_ms(TRAF_BODY_LOG_MS);
	jl_begin(JL_UNLIMITED, "bodies_refused");
	for (int why = 0; why < HD_REFUSED_COUNT; why++)
		jl_int(traf_body_whys[why], refused[why]);
	jl_int("held", (int64_t)held);
	jl_int("total", (int64_t)traf_body_total_max(body));
	jl_end();
}

void traf_body_on_sweep(const struct traf *traf, int64_t now_us)
{
	uint64_t held;

	if (!traf->router->front)
		return;
	held = hd_bodies_total(traf->router->front);
	met_set(met_gauge("bg_request_bodies_bytes", ""), held);
	traf_body_log_refused(traf->body, held, now_us);
}

bool traf_may_hold_body(void *ctx, const struct hd_body_use *use)
{
	struct traf_body *body = ((struct router *)ctx)->traf->body;
	bool may_hold;

	pthread_mutex_lock(&body->lock);
	may_hold = bodies_may_hold(&body->limits, use);
	pthread_mutex_unlock(&body->lock);
	return may_hold;
}

/* Returns the Retry-After in us for a request whose body is not held. */
static int64_t traf_body_retry_us(struct traf_body *body, int64_t deadline_ms)
{
	int64_t now_us = tmr_now();
	int64_t retry_us;

	if (deadline_ms < 0)
		deadline_ms = TRAF_BODY_DEADLINE_MS;
	pthread_mutex_lock(&body->lock);
	bk_on_refused(&body->back, now_us);
	retry_us = bk_retry_delay_us(&body->back, tmr_from_ms(deadline_ms), now_us, &body->seed);
	pthread_mutex_unlock(&body->lock);
	return retry_us;
}

static void traf_body_note_refused(struct traf_body *body, const char *id, enum hd_refusal why,
				   int64_t retry_us)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "why=\"%s\"", traf_body_whys[why]);
	met_add(met_counter("bg_bodies_refused_total", labels), 1);
	pthread_mutex_lock(&body->lock);
	body->refused[why]++;
	pthread_mutex_unlock(&body->lock);
	jl_begin(JL_INFO, "body_refused");
	jl_str("id", id);
	jl_str("why", traf_body_whys[why]);
	jl_int("back_ms", retry_us / TMR_US_PER_MS);
	jl_end();
}

static void traf_body_set_retry(const struct router *router, struct hd_call *call, int64_t retry_us)
{
	char *value = router->seam->wire.retry_header_value(retry_us);

	hd_set_header(call, router->seam->wire.retry_header_name(), value);
	g_free(value);
}

void traf_refuse_body(void *ctx, struct hd_call *call, enum hd_refusal why)
{
	static const char full[] = "{\"error\":{\"code\":\"bodies_full\"}}";
	static const char slow[] = "{\"error\":{\"code\":\"body_too_slow\"}}";
	static const char head[] = "{\"error\":{\"code\":\"head_too_large\"}}";
	struct router *router = ctx;
	struct seam_request request;
	int64_t retry_us = 0;

	traf_read_request(router->traf, call, &request);
	hd_set_label(call, request.id);
	if (why == HD_REFUSED_FULL) {
		retry_us = traf_body_retry_us(router->traf->body, request.deadline_ms);
		traf_body_set_retry(router, call, retry_us);
		hd_reply(call, STATUS_UNAVAILABLE, "application/json", full, sizeof(full) - 1);
	} else if (why == HD_REFUSED_SLOW) {
		hd_reply(call, STATUS_TIMEOUT, "application/json", slow, sizeof(slow) - 1);
	} else {
		hd_reply(call, STATUS_HEAD_TOO_LARGE, "application/json", head, sizeof(head) - 1);
	}
	traf_body_note_refused(router->traf->body, request.id, why, retry_us);
	seam_request_finish(&request);
}
