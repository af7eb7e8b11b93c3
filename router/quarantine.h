#ifndef ROUTER_QUARANTINE_H
#define ROUTER_QUARANTINE_H

#include "base/frm.h"
#include "base/str.h"
#include "quar/quar.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * The quarantine of requests (quar/quar.h) over all hosts. Each of the two threads has the table:
 * the traffic thread refuses by its own and adds crashes to it, the control thread's is what hosts
 * tell each other and what is kept in the store. Both send each other what is news.
 *
 * Three crashes may be seen by three hosts. An entry goes to all others over the feeds, both ways
 * and from host to host, at once; on a new feed both sides send all they have, so a host that was
 * cut off, stopped or has just started is told, and tells. Entries are kept in the store for the
 * case that all hosts start anew; while the store is away, what waits is written when it is back.
 */
struct rc;
struct tf;
struct quarantine;

/* A list of struct quar_entry that owns them. */
GPtrArray *quarantine_list_new(void);

/* quarantine.c: the control thread's part. */
struct quarantine *quarantine_new(struct rc *rc);
void quarantine_free(struct quarantine *quarantine);
void quarantine_on_tick(struct quarantine *quarantine, int64_t now_us);

/* The store came back from a copy, which may lack entries. */
void quarantine_on_return(struct quarantine *quarantine);

/* News from this host's traffic thread; the list is taken over. Any thread. */
void quarantine_post(struct rc *rc, GPtrArray *entries);

/* What other hosts, or the store, say; source: the connection it came by, which is not told. */
void quarantine_on_news(struct quarantine *quarantine, const GPtrArray *entries,
			const void *source);

/* The message; 0 or BASE_EFRAME. */
int quarantine_on_msg(struct quarantine *quarantine, struct frm_conn *conn, const uint8_t *body,
		      size_t len);

/* All that is known, to a host at the other end of a new feed. */
void quarantine_send_all(const struct quarantine *quarantine, struct frm_conn *conn);

/* An operator clears the request with that digest. Returns how many were cleared. */
int quarantine_clear(struct quarantine *quarantine, const char *content);

const struct quar *quarantine_table(const struct quarantine *quarantine);

/* quar_msg.c: entries as messages. Times are told as spans, since clocks differ. */
void quar_msg_send(struct frm_conn *conn, const GPtrArray *entries, int64_t now_us);

/* Returns the entries, or NULL for what is no such message. */
GPtrArray *quar_msg_read(const uint8_t *body, size_t len, int64_t now_us);

/* As a record of the store; unix_ms is the time of day. Free with g_byte_array_unref(). */
GByteArray *quar_msg_note(const struct quar_entry *entry, int64_t now_us, int64_t unix_ms);
struct quar_entry *quar_msg_read_note(struct str value, int64_t now_us, int64_t unix_ms);

/* quar_note.c: what is kept in the store. */
struct quar_note;

struct quar_note *quar_note_new(struct rc *rc, struct quarantine *quarantine);
void quar_note_free(struct quar_note *note);

/* The entry has changed, or is outdated and goes. */
void quar_note_change(struct quar_note *note, const struct quar_entry *entry);
void quar_note_remove(struct quar_note *note, const struct quar_entry *entry);
void quar_note_on_tick(struct quar_note *note, int64_t now_us);

/* tf_quar.c: to the traffic thread, what others have told. */
void tf_quar_post(struct tf *tf, const GPtrArray *entries);

/* Says that the request is refused from now on, or no more; from: who found that out. */
void quarantine_log(const struct quar_entry *entry, const char *from, int64_t now_us);

G_END_DECLS

#endif
