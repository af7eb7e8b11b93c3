#ifndef ROUTER_LIMITS_H
#define ROUTER_LIMITS_H

#include "base/frm.h"
#include "lim/part.h"
#include "msg/feed.pb-c.h"

#include <jansson.h>

G_BEGIN_DECLS

/*
 * Limits that endpoints name, over all hosts. limits.c keeps what is known of them on this host and
 * passes it on; limit_ask.c asks the home of the limits for permits; limit_home.c is the home, on
 * the one host that all choose alike. Control thread, but for limits_post(). All times are of
 * tmr_boot_now().
 */
struct rc;
struct tf;
struct limits;
struct limit_ask;
struct limit_home;

/* One endpoint's limit on its way between threads and hosts. */
struct limit_note {
	char *endpoint; /* its incarnation; owned */
	struct lim_news news;
	int wanted;
	int returned;
	int permits;
	int64_t asked_us; /* of permits: when the ask was sent that they answer */
};

/* limits.c */
struct limits *limits_new(struct rc *rc);
void limits_free(struct limits *limits);
void limits_on_tick(struct limits *limits, int64_t now_us);

/* From the traffic thread: what an endpoint said, and what this host needs of it. Any thread. */
void limits_post(struct rc *rc, const struct limit_note *note);

/* From another host, which need not hear it again; source: its connection. */
void limits_take(struct limits *limits, const struct limit_note *note, const void *source);

/* Permits from the home. */
void limits_grant(struct limits *limits, const struct limit_note *note);

/* The message by which hosts tell each other; feeds carry it both ways. 0 or BASE_EFRAME. */
int limits_on_msg(struct limits *limits, struct frm_conn *conn, const uint8_t *body, size_t len);

/* Tells a host that has just connected all that is known. */
void limits_send_all(struct limits *limits, struct frm_conn *conn);

/* Whether the endpoint has named a limit for long, so that its layers are of less use. */
bool limits_last(const struct limits *limits, const char *endpoint);

/* The part of this host as the home. */
struct limit_home *limits_home(const struct limits *limits);

/* For operators: a list of limits, with who divides them. */
json_t *limits_state(const struct limits *limits);

/* Array of struct limit_note, which owns their texts. */
GArray *limit_notes_new(void);

/* What is known, with what this host needs; what was wanted and returned is told once. */
GArray *limits_to_ask(struct limits *limits, int64_t now_us);

/* Whether any limit binds, and whether anything was wanted or returned since the last ask. */
bool limits_bind(const struct limits *limits);
bool limits_have_needs(const struct limits *limits);

/* limit_ask.c */
struct limit_ask *limit_ask_new(struct rc *rc, struct limits *limits, struct limit_home *home);
void limit_ask_free(struct limit_ask *ask);
void limit_ask_on_tick(struct limit_ask *ask, int64_t now_us);

/* Something is needed: it is asked for soon. */
void limit_ask_soon(struct limit_ask *ask);

/* The host that is asked now, or NULL. */
const char *limit_ask_home(const struct limit_ask *ask);

/* limit_home.c */
struct limit_home *limit_home_new(struct rc *rc, struct limits *limits);
void limit_home_free(struct limit_home *home);
void limit_home_on_tick(struct limit_home *home, int64_t now_us);

/* A host asks; conn: NULL for this host itself. */
void limit_home_ask(struct limit_home *home, const char *host, int64_t sent_us, int64_t heard_us,
		    const GArray *notes, struct frm_conn *conn);
int limit_home_on_msg(struct limit_home *home, struct frm_conn *conn, const uint8_t *body,
		      size_t len);
void limit_home_on_close(struct limit_home *home, const struct frm_conn *conn);

/* Hosts that ask this one, and the part of each limit that it may divide. */
unsigned int limit_home_hosts(const struct limit_home *home);
double limit_home_part(const struct limit_home *home);

/* limit_msg.c: between notes and messages. */
struct limit_items {
	Feed__Limit *values;
	Feed__Limit **refs;
	size_t n;
};

void limit_items_init(struct limit_items *items, const GArray *notes);
void limit_items_finish(struct limit_items *items);

/* Another host's word; the note refers to the message's text. */
void limit_note_read(struct limit_note *note, const Feed__Limit *from, int64_t now_us);

/* tf_limit.c: to the traffic thread. */
void tf_limit_post(struct tf *tf, const struct limit_note *note);

G_END_DECLS

#endif
