#include "lead/lead.h"

#include <string.h>

void lead_init(struct lead *lead, int64_t ttl_us)
{
	memset(lead, 0, sizeof(*lead));
	lead->ttl_us = ttl_us;
	lead->generation = -1;
	lead->newest = -1;
	lead->refused = -1;
}

void lead_on_join(struct lead *lead, int64_t now_us)
{
	lead->began_us = now_us;
}

bool lead_on_joined(struct lead *lead, int64_t generation, bool leads)
{
	bool changed = leads != lead->leads || generation != lead->generation;

	lead->joined_us = lead->began_us;
	lead->generation = generation;
	lead->newest = MAX(lead->newest, generation);
	lead->leads = leads;
	return changed;
}

void lead_on_heard(struct lead *lead, int64_t generation)
{
	lead->newest = MAX(lead->newest, generation);
}

void lead_on_refused(struct lead *lead, int64_t fence)
{
	lead->refused = MAX(lead->refused, fence);
}

void lead_on_left(struct lead *lead)
{
	lead->leads = false;
	lead->joined_us = 0;
}

/* A newer generation may have another leader, which this host has not been told yet. */
bool lead_may_order(const struct lead *lead, int64_t now_us)
{
	return lead->leads && lead->generation == lead->newest &&
	       lead->generation > lead->refused && now_us - lead->joined_us < lead->ttl_us;
}
