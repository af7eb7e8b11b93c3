#ifndef BUD_BUD_H
#define BUD_BUD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Budget of repeats for one service. All hosts together may send, in any window, a part of the
 * requests plus a fixed number again. No host asks another before a repeat: each keeps to the part
 * of its own requests and to an equal share of the fixed number. Pure.
 *
 * What a host has spent is in its memory, and a start clears that. If it had its share anew at
 * once, hosts that are killed and start again within a window would together send the fixed number
 * twice, and endpoints that are overloaded just then would get more instead of less. So a host has
 * no share until a window after its start, unless the system itself is new; meanwhile it keeps to
 * the part of its own requests. For the same reason a share is cut by the most hosts of the window,
 * not by those of the moment: hosts that have ended have spent theirs.
 */
enum {
	BUD_SLOTS = 20 /* parts into which the window is cut */
};

struct bud_limits {
	double ratio; /* repeats allowed for each request */
	double fixed; /* more of them, over all hosts */
	int64_t window_us;
	int hosts;	       /* that share the fixed number */
	int64_t fixed_from_us; /* until then this host has no share of the fixed number */
};

struct bud {
	struct bud_limits limits;
	int64_t first_us; /* when the first request came; 0: none has */
	int64_t slot;	  /* number of the newest part */
	uint32_t requests[BUD_SLOTS];
	uint32_t repeats[BUD_SLOTS];
	int hosts[BUD_SLOTS]; /* by part: the most that shared the fixed number */
};

void bud_init(struct bud *bud, const struct bud_limits *limits);
void bud_set_limits(struct bud *bud, const struct bud_limits *limits, int64_t now_us);

/* A first sending of a request. */
void bud_on_request(struct bud *bud, int64_t now_us);

/* Requests a second over the window, or since the first one if that is less. */
double bud_rate(struct bud *bud, int64_t now_us);

/* Repeats that may be taken now. */
double bud_left(struct bud *bud, int64_t now_us);

/* Takes one repeat from the budget. Returns false when it is spent. */
bool bud_take(struct bud *bud, int64_t now_us);

G_END_DECLS

#endif
