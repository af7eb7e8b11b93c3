#ifndef ROUTER_FEED_PACK_H
#define ROUTER_FEED_PACK_H

#include "ep/ep.h"
#include "msg/feed.pb-c.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Endpoints as a feed hands them on: the latest records for followers that have what came before,
 * else the whole list. Followers mostly want the same, so what was packed last is kept. Pure.
 *
 * Without packing, a reader of 300 hosts with 3,000 engines had 840 KB to send to each of 100
 * followers at a start, and its memory went to 194 MB.
 */
struct fp {
	GQueue *records;      /* struct fp_record, oldest first, without gaps */
	guint records_most;   /* that are kept */
	int64_t records_from; /* who wants an older one gets the whole list */
	int64_t records_next; /* place after the newest one */
	guint listing;	      /* number of the newest listing, from 1 */
	GByteArray *packed;   /* what was packed last */
	gsize whole_len;      /* of it before it was deflated; 0: it was not deflated */
	bool packed_whole;    /* it is the whole list */
	guint packed_listing; /* 0: nothing has been packed */
	int64_t packed_from;
	int64_t packed_next; /* records_next then */
};

void fp_init(struct fp *fp);
void fp_finish(struct fp *fp);

/*
 * The list is so long, and others are fed from it: as many records are kept, since the whole list
 * costs a follower as much. With a fixed number of them all followers of a large fleet were sent
 * the whole list again and again as soon as more endpoints changed between two updates.
 */
void fp_set_length(struct fp *fp, guint endpoints);

/* A record was read; text.data is NULL when the entry was removed. */
void fp_on_record(struct fp *fp, int64_t offset, const char *id, struct str text);

/* The whole list has been read anew, or changed without a record. */
void fp_on_listing(struct fp *fp, const struct ep_list *list);

/* Whether a follower that has that listing up to the record before "from" needs the whole list. */
bool fp_needs_whole(const struct fp *fp, guint listing, int64_t from);

/* Whether there is anything to tell a follower that has what came before "from". */
bool fp_has_news(const struct fp *fp, int64_t from);

/* Fills packed and whole_len: the whole list, or the records from that offset on. */
void fp_pack(struct fp *fp, const struct ep_list *list, bool whole, int64_t from);

/* What was packed; NULL when it is damaged. Free with feed__endpoints__free_unpacked(). */
Feed__Endpoints *fp_unpack(const uint8_t *data, size_t packed_len, int64_t whole_len);

G_END_DECLS

#endif
