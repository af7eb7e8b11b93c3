#ifndef ROUTER_PART_MSG_H
#define ROUTER_PART_MSG_H

#include "base/frm.h"
#include "msg/feed.pb-c.h"
#include "quar/part.h"

G_BEGIN_DECLS

/* Conversion of the evidence about parts of prompts (quar/part.h) to messages between hosts. */

/* Returns an array of struct part_entry that frees its elements. */
GPtrArray *part_msg_list_new(void);

/* Frees an element of such an array. */
void part_msg_entry_free(gpointer entry);

/*
 * Sends entries to another host. Times are sent as durations, because the clocks of hosts differ.
 */
void part_msg_send(struct frm_conn *conn, const GPtrArray *entries, int64_t now_us);

/* Returns the evidence in a message. */
GPtrArray *part_msg_read(const Feed__Quarantines *msg, int64_t now_us);

G_END_DECLS

#endif
