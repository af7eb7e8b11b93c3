#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Fair portions of client accounts: what each has used lately, and how urgent its next request is
 * for engines, which admit the more urgent first when they are full. An account that uses no more
 * than an equal part of what all use keeps its urgency; one that uses several times that stands
 * back, so that a flood of one account delays that account. Nobody is refused for it, and with room
 * for all it has no effect. Pure.
 */
enum {
	SH_MOST_URGENT = 0,
	SH_USUAL = 5, /* of a request that states nothing */
	SH_LEAST_URGENT = 9
};

struct sh_account {
	double used; /* tokens, fading with time */
	int64_t used_us;
};

struct sh {
	GHashTable *accounts; /* name -> struct sh_account */
};

void sh_init(struct sh *sh);
void sh_finish(struct sh *sh);

/*
 * Charges the account with a request of that many tokens. Returns its urgency; priority is that of
 * the account or route, 0 the highest.
 */
int sh_charge(struct sh *sh, const char *account, double tokens, int64_t priority, int64_t now_us);

/* What the account has used, faded to now. */
double sh_used(const struct sh_account *account, int64_t now_us);

G_END_DECLS

#endif
