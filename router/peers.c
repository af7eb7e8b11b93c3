#include "router/ctl.h"

struct peers {
	struct ctl *ctl;
};

struct peers *peers_new(struct ctl *ctl)
{
	struct peers *peers = g_new0(struct peers, 1);

	peers->ctl = ctl;
	return peers;
}

void peers_free(struct peers *peers)
{
	g_free(peers);
}

void peers_on_tick(struct peers *peers, int64_t now_us)
{
	(void)peers;
	(void)now_us;
}
