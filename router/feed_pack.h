#ifndef ROUTER_FEED_PACK_H
#define ROUTER_FEED_PACK_H

#include "ep/ep.h"
#include "msg/feed.pb-c.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Queue of endpoint records for the followers of a feed, and their serialized form. A follower that
 * has all previous records gets the latest ones, any other follower the full list of endpoints.
 * Most followers need the same data, so the last serialized message is cached and deflated: without
 * that, a reader of 300 hosts with 3,000 engines sent 840 KB to each of 100 followers at a start
 * and used 194 MB of memory. The functions have no side effects outside of the struct.
 *
 * A place is a position in the store's log, see era/era.h.
 */
struct fpack {
	GQueue *records;   /* Latest records as struct fpack_record, oldest first, without gaps */
	guint records_max; /* Maximum number of records that are kept */
	int64_t records_from;  /* Oldest place from which the records are complete */
	int64_t records_next;  /* Place after the newest record */
	guint listing;	       /* Number of the newest full list, from 1 */
	GByteArray *packed;    /* Cached message, deflated if whole_len is not 0 */
	gsize whole_len;       /* Length of the cached message before it was deflated, in bytes */
	bool packed_full_list; /* Whether the cached message holds the full list */
	guint packed_listing;  /* Value of listing for the cached message; 0 if there is none */
	int64_t packed_from;   /* Place of the first record in the cached message */
	int64_t packed_next;   /* Value of records_next for the cached message */
};

void fpack_init(struct fpack *fpack);
void fpack_finish(struct fpack *fpack);

/*
 * Sets the maximum number of records to the number of endpoints, as this many records cost a
 * follower as much as the full list. With a fixed maximum, all followers of a large system got the
 * full list repeatedly when more endpoints than that changed between two updates.
 */
void fpack_set_max_records(struct fpack *fpack, guint endpoints);

/* Appends a record; text.data is NULL if the endpoint was removed. */
void fpack_add_record(struct fpack *fpack, int64_t offset, const char *id, struct str text);

/* Discards the records: the list was read again completely, or changed without a record. */
void fpack_on_list_replaced(struct fpack *fpack, const struct ep_list *list);

/* Whether a follower that has full list number "listing" up to place "from" needs a new one. */
bool fpack_needs_full_list(const struct fpack *fpack, guint listing, int64_t from);

/* Whether there are records for a follower that has all records before place "from". */
bool fpack_has_records(const struct fpack *fpack, int64_t from);

/* Serializes the full list, or the records from place "from" on, into packed and whole_len. */
void fpack_serialize(struct fpack *fpack, const struct ep_list *list, bool whole, int64_t from);

/*
 * Parses a message of packed_len bytes; whole_len is its length before it was deflated, 0 if it was
 * not. Returns NULL if it is malformed. Free with feed__endpoints__free_unpacked().
 */
Feed__Endpoints *fpack_parse(const uint8_t *data, size_t packed_len, int64_t whole_len);

G_END_DECLS

#endif
