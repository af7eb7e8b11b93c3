#ifndef ROUTER_QUARANTINE_H
#define ROUTER_QUARANTINE_H

#include "base/frm.h"
#include "base/str.h"
#include "quar/part.h"
#include "quar/quar.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Quarantine of requests that crash endpoints (quar/quar.h), shared by all hosts. Each of the two
 * threads has its own table. The traffic thread refuses requests by its table and adds the crashes
 * that it detects; the control thread exchanges entries with other hosts and with the store. The
 * threads send each other the entries that have changed.
 *
 * The crashes of one request may be detected by different hosts, so a changed entry is sent to all
 * other hosts at once: over the feeds, in both directions, and from host to host. On a new feed
 * both sides send all their entries, so a host that was cut off, was stopped or has just started
 * receives what it lacks. Entries are also kept in the store, for a restart of all hosts. Entries
 * that change while the store is unreachable are written when it is reachable again.
 */
struct ctrl;
struct traf;
struct quarantine;

/* Returns an array of struct quar_entry that frees its elements. */
GPtrArray *quarantine_list_new(void);

/* quarantine.c: the table of the control thread. */
struct quarantine *quarantine_new(struct ctrl *ctrl);
void quarantine_free(struct quarantine *quarantine);
void quarantine_on_tick(struct quarantine *quarantine, int64_t now_us);

/* Handles that the store was restored from a copy, in which entries may be missing. */
void quarantine_on_store_restored(struct quarantine *quarantine);

/*
 * Passes entries that have changed from the traffic thread to the control thread, which takes over
 * the list. May be called from any thread.
 */
void quarantine_post(struct ctrl *ctrl, GPtrArray *entries);

/*
 * Passes evidence about parts of prompts (struct part_entry) from the traffic thread to the control
 * thread, which takes over the list. May be called from any thread.
 */
void quarantine_post_evidence(struct ctrl *ctrl, GPtrArray *evidence);

/*
 * Merges entries from another host or from the store and forwards those that change the table.
 * source is the connection that they came from, to which they are not sent back, or NULL.
 */
void quarantine_merge_remote(struct quarantine *quarantine, const GPtrArray *entries,
			     const void *source);

/* Handles the message with entries of another host. Returns 0 or BASE_EFRAME. */
int quarantine_on_msg(struct quarantine *quarantine, struct frm_conn *conn, const uint8_t *body,
		      size_t len) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Whether requests may be served, in regard of the quarantine; to be asked once the host has all
 * else that it needs. See quar/quar_ready.h.
 */
bool quarantine_may_serve(struct quarantine *quarantine, int64_t now_us);

/* Whether the entries in the store are known. */
bool quarantine_is_known(const struct quarantine *quarantine);

/* Handles that the entries in the store are known from now on, and tells other hosts. */
void quarantine_on_known(struct quarantine *quarantine);

/* Sends all entries that are shared to the host at the other end of a new feed. */
void quarantine_send_all(const struct quarantine *quarantine, struct frm_conn *conn);

/*
 * Clears the entries of a request for an operator. content is the digest of the request as text.
 * Returns the number of entries cleared.
 */
int quarantine_clear(struct quarantine *quarantine, const char *content);

/* Returns the table of the control thread, and its evidence about parts of prompts. */
const struct quar *quarantine_table(const struct quarantine *quarantine);
const struct part_table *quarantine_parts(const struct quarantine *quarantine);

/* quar_msg.c: conversion of entries to messages and records. */

/*
 * Sends entries to another host. Times are sent as durations, because the clocks of hosts differ.
 */
void quar_msg_send(struct frm_conn *conn, const GPtrArray *entries, int64_t now_us);

/* Tells another host that all entries in the store have been sent to it. */
void quar_msg_send_known(struct frm_conn *conn);

/* The contents of a message, as two lists to be freed: struct quar_entry and struct part_entry. */
struct quar_msg_list {
	GPtrArray *entries;
	GPtrArray *evidence;
	bool known; /* the sender knows all entries in the store, and has sent them */
};

/* Returns 0, or BASE_EFRAME if the message is malformed; then there are no lists. */
int quar_msg_unpack(const uint8_t *body, size_t len, int64_t now_us,
		    struct quar_msg_list *list) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Returns the record of an entry for the store; free it with g_byte_array_unref(). unix_ms is the
 * current time of day.
 */
GByteArray *quar_msg_pack_record(const struct quar_entry *entry, int64_t now_us, int64_t unix_ms);

/*
 * Returns the entry of a record from the store, or NULL if it is malformed. Its times are adjusted
 * by the time that has passed since it was written.
 */
struct quar_entry *quar_msg_unpack_record(struct str value, int64_t now_us, int64_t unix_ms);

/* quar_store.c: keeping entries in the store. */
struct quar_store;

struct quar_store *quar_store_new(struct ctrl *ctrl, struct quarantine *quarantine);
void quar_store_free(struct quar_store *store);

/* Schedules a changed entry to be written, if it is one that is kept in the store. */
void quar_store_put(struct quar_store *store, const struct quar_entry *entry);

/* Schedules the removal of an expired entry from the store. */
void quar_store_remove(struct quar_store *store, const struct quar_entry *entry);

/* Starts reading the entries from the store if that is due. */
void quar_store_read_if_due(struct quar_store *store, int64_t now_us);

/* Starts calls to the store that are due. */
void quar_store_on_tick(struct quar_store *store, int64_t now_us);

/* Passes entries from other hosts or from the store to the traffic thread. */
void traf_quar_post(struct traf *traf, const GPtrArray *entries);

/*
 * Logs that a request is refused from now on, or no longer. from is the origin of the change: this
 * host, another host or an operator.
 */
void quarantine_log(const struct quar_entry *entry, const char *from, int64_t now_us);

G_END_DECLS

#endif
