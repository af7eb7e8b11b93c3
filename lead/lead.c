#include "lead/lead.h"

#include <string.h>

void lead_init(struct lead *lead, int64_t ttl_us)
{
	memset(lead, 0, sizeof(*lead));
	lead->ttl_us = ttl_us;
	lead->fence = -1;
	lead->newest = -1;
	lead->refused_fence = -1;
}

void lead_on_join_sent(struct lead *lead, int64_t now_us)
{
	lead->join_sent_us = now_us;
}

bool lead_on_join_answered(struct lead *lead, int64_t fence, bool leads)
{
	bool changed = leads != lead->leads || fence != lead->fence;

	lead->joined_us = lead->join_sent_us;
	lead->fence = fence;
	lead->newest = MAX(lead->newest, fence);
	lead->leads = leads;
	return changed;
}

void lead_on_fence_reported(struct lead *lead, int64_t fence)
{
	lead->newest = MAX(lead->newest, fence);
}

void lead_on_store_restored(struct lead *lead, int64_t now_us)
{
	if (!lead_may_send_orders(lead, now_us))
		lead->wait_until_us = now_us + lead->ttl_us;
	lead->leads = false;
	lead->joined_us = 0;
}

void lead_on_order_refused(struct lead *lead, int64_t fence)
{
	lead->refused_fence = MAX(lead->refused_fence, fence);
}

void lead_on_group_left(struct lead *lead)
{
	lead->leads = false;
	lead->joined_us = 0;
}

/* A fencing number newer than this host's own may mean that another host holds the lease now. */
bool lead_may_send_orders(const struct lead *lead, int64_t now_us)
{
	return lead->leads && lead->fence == lead->newest && lead->fence > lead->refused_fence &&
	       now_us >= lead->wait_until_us && now_us - lead->joined_us < lead->ttl_us;
}
