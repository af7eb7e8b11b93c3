#include "lim/members.h"

#include <string.h>

struct lim_member {
	/* Time at which the lease of the host ends, in microseconds; 0 if it has none. */
	int64_t lease_end_us;
	/* Time at which the host was added on this home, in microseconds. */
	int64_t added_us;
};

void lim_members_init(struct lim_members *members)
{
	members->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	members->listed = false;
}

void lim_members_finish(struct lim_members *members)
{
	g_hash_table_destroy(members->hosts);
}

static struct lim_member *lim_members_add(struct lim_members *members, const char *name,
					  int64_t now_us)
{
	struct lim_member *member = g_new0(struct lim_member, 1);

	member->added_us = now_us;
	g_hash_table_insert(members->hosts, g_strdup(name), member);
	return member;
}

void lim_members_set_hosts(struct lim_members *members, const GPtrArray *names, int64_t now_us)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	members->listed = true;

	for (guint i = 0; i < names->len; i++) {
		g_hash_table_add(listed, names->pdata[i]);
		if (!g_hash_table_contains(members->hosts, names->pdata[i]))
			lim_members_add(members, names->pdata[i], now_us);
	}
	g_hash_table_iter_init(&iter, members->hosts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct lim_member *member = value;

		if (!g_hash_table_contains(listed, name) && member->lease_end_us <= now_us)
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(listed);
}

void lim_members_renew_lease(struct lim_members *members, const char *name, int64_t message_sent_us)
{
	struct lim_member *member = g_hash_table_lookup(members->hosts, name);

	if (!member)
		member = lim_members_add(members, name, message_sent_us);
	member->lease_end_us = MAX(member->lease_end_us, message_sent_us + LIM_LEASE_US);
}

void lim_members_end_lease(struct lim_members *members, const char *name)
{
	struct lim_member *member = g_hash_table_lookup(members->hosts, name);

	if (member)
		member->lease_end_us = 0;
}

static bool lim_member_is_expired(const struct lim_member *member, int64_t now_us)
{
	return now_us - MAX(member->lease_end_us, member->added_us) > LIM_RECLAIM_US;
}

unsigned int lim_members_leased_count(const struct lim_members *members, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int n = 0;

	g_hash_table_iter_init(&iter, members->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct lim_member *)value)->lease_end_us > now_us;
	return n;
}

double lim_members_limit_ratio(const struct lim_members *members, int64_t now_us)
{
	unsigned int all = g_hash_table_size(members->hosts);
	unsigned int present = lim_members_leased_count(members, now_us);
	GHashTableIter iter;
	gpointer value;

	/* Without a list, the hosts that requested permits would be treated as all hosts. */
	if (!members->listed || all == 0)
		return 0;
	if (present * 2 <= all)
		return (double)present / all;
	g_hash_table_iter_init(&iter, members->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lim_member *member = value;

		present += member->lease_end_us <= now_us && lim_member_is_expired(member, now_us);
	}
	return (double)present / all;
}
