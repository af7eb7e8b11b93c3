#ifndef QUAR_SERVED_H
#define QUAR_SERVED_H

#include "quar/quar_key.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Requests that were served completely a short time ago, in a ring buffer. A request that crashes
 * endpoints is never among them. A harmless request that many callers send is among them all the
 * time, and is running at each endpoint that crashes for another reason; a crash isn't counted
 * against a request found here. The functions do no input or output and read no clock.
 */
enum {
	/*
	 * Number of requests that are kept: at 24 bytes each they take 98 KB. At 100 requests a
	 * second on one host they cover 40 s.
	 */
	SERVED_ENTRIES_MAX = 4096,
	/*
	 * Time in microseconds after its answer for which a request counts as recently served. It
	 * is longer than a series of crashes lasts, and short enough that a request which a new
	 * version of the model has made harmful is soon counted again.
	 */
	SERVED_WINDOW_US = 10000000
};

struct served {
	struct quar_key keys[SERVED_ENTRIES_MAX];
	int64_t at_us[SERVED_ENTRIES_MAX]; /* time at which each was served, in microseconds */
	unsigned int next;		   /* index that is written next */
	unsigned int n;			   /* number of valid elements */
};

void served_init(struct served *served);

/* Records that the request was served completely. */
void served_record(struct served *served, const struct quar_key *key, int64_t now_us);

/* Returns whether the request was served completely within the last SERVED_WINDOW_US. */
bool served_recently(const struct served *served, const struct quar_key *key, int64_t now_us);

G_END_DECLS

#endif
