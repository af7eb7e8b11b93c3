#include "router/rank.h"
#include "base/str.h"

#include <string.h>

static const char rank_key[] = "readers of the store";

/* From the last news of a feed that falls silent until it is given up and the store was read. */
static const int64_t rank_change_us = 2000000;

/* Three rounds that were not heard of; one may be late, as a feed that has to be changed may be. */
static const int64_t rank_silent_us = 3000000;

/* The hosts with a part in handing on, by rank. */
struct rank_list {
	const struct host *hosts[RANK_FEEDERS + RANK_RELAYS_MAX];
	unsigned int n;
	unsigned int readers; /* the first ones */
	unsigned int feeders; /* readers and spares; relays follow */
};

unsigned int rank_relays(unsigned int hosts)
{
	if (hosts <= RANK_READERS * RANK_FOLLOWERS)
		return 0;
	return MIN((hosts + RANK_RELAYED - 1) / RANK_RELAYED, (unsigned int)RANK_RELAYS_MAX);
}

static void rank_fill(const struct host_table *table, unsigned int hosts, int64_t now_us,
		      struct rank_list *list)
{
	unsigned int most = table->hosts->len <= RANK_FEW_HOSTS ? RANK_READERS_FEW : RANK_READERS;
	unsigned int wanted = RANK_FEEDERS + rank_relays(hosts);
	const struct host *least = host_home(table, rank_key, 0, now_us);

	list->n = host_homes(table, rank_key, list->hosts, wanted, now_us);
	if (list->n == 0 && least)
		list->hosts[list->n++] = least;
	list->feeders = MIN(list->n, (unsigned int)RANK_FEEDERS);
	list->readers = MIN(list->n, most);
}

/* What the host itself is. Returns its place in the list, or the list's length. */
static unsigned int rank_place(const struct rank_list *list, const char *name, struct rank *rank)
{
	unsigned int at = 0;

	while (at < list->n && strcmp(list->hosts[at]->name, name) != 0)
		at++;
	rank->reader = at < list->readers;
	rank->first = at == 0 && list->readers > 0;
	rank->spare = at >= list->readers && at < list->feeders;
	rank->relay = at >= list->feeders && at < list->n;
	return at;
}

/* The readers come first, from the host's own one on, then the spares. */
static const struct host *rank_feeder(const struct rank_list *list, const char *name,
				      unsigned int start, unsigned int turn)
{
	for (unsigned int i = 0; i < list->feeders; i++) {
		unsigned int at = (i + turn) % list->feeders;
		const struct host *host = at < list->readers
						  ? list->hosts[(start + at) % list->readers]
						  : list->hosts[at];

		if (strcmp(host->name, name) != 0)
			return host;
	}
	return NULL;
}

/* Hosts spread over relays by their names; one of their own zone is nearer, and costs less. */
static bool rank_is_better(const struct rank_self *self, uint64_t hash, const struct host *a,
			   const struct host *b)
{
	bool near_a = strcmp(a->zone, self->zone) == 0;
	bool near_b = strcmp(b->zone, self->zone) == 0;

	if (near_a != near_b)
		return near_a;
	return host_weight(a, hash) > host_weight(b, hash);
}

/* How many relays the host would rather follow than that one. */
static unsigned int rank_better(const struct rank_list *list, const struct rank_self *self,
				const struct host *relay)
{
	uint64_t hash = str_hash(self->name, strlen(self->name), 0);
	unsigned int better = 0;

	for (unsigned int i = list->feeders; i < list->n; i++)
		better += rank_is_better(self, hash, list->hosts[i], relay);
	return better;
}

/* The relay that the host tries after so many others; NULL: no more. */
static const struct host *rank_relay(const struct rank_list *list, const struct rank_self *self)
{
	for (unsigned int i = list->feeders; i < list->n; i++) {
		if (rank_better(list, self, list->hosts[i]) == self->turn)
			return list->hosts[i];
	}
	return NULL;
}

/*
 * Readers follow the next reader, so that one that the store turns away has a feed. Spares and
 * relays follow readers; all others follow relays, where there are some.
 */
void rank_choose(const struct host_table *table, const struct rank_self *self, int64_t now_us,
		 struct rank *rank)
{
	struct rank_list list;
	unsigned int turn = self->turn;
	unsigned int start;
	unsigned int at;

	memset(rank, 0, sizeof(*rank));
	rank_fill(table, self->hosts, now_us, &list);
	if (list.n == 0)
		return;
	at = rank_place(&list, self->name, rank);
	rank->relayed = at == list.n && list.n > list.feeders;
	if (rank->relayed && turn < RANK_RELAYS_TRIED) {
		rank->feeder = rank_relay(&list, self);
		if (rank->feeder)
			return;
	}
	if (rank->relayed)
		turn -= MIN(turn, (unsigned int)RANK_RELAYS_TRIED);
	start = rank->reader ? at + 1
			     : (unsigned int)(str_hash(self->name, strlen(self->name), 0) %
					      list.readers);
	rank->feeder = rank_feeder(&list, self->name, start, turn);
}

bool rank_reads(const struct rank_host *host)
{
	if (host->reader)
		return true;
	if (!host->fed)
		return !host->knows_all || !host->patient;
	return host->first_start ? !host->settled : !host->knows_all;
}

int64_t rank_patience_us(const struct rank *rank, int64_t news_us)
{
	if (rank->reader || rank->spare)
		return 0;
	return MAX(news_us - rank_change_us, 0) / 2;
}

bool rank_may_feed(const struct rank_host *host)
{
	if (host->relay && host->fed)
		return true;
	return host->reached && (host->reader || host->settled);
}

bool rank_round_heard(struct rank_round *round, int64_t number, int64_t now_us)
{
	bool news = number > round->number;

	if (number >= round->number)
		round->heard_us = now_us;
	if (news)
		round->number = number;
	return news;
}

int64_t rank_round_done(struct rank_round *round)
{
	return ++round->number;
}

bool rank_round_is_ours(const struct rank_round *round, const struct rank *rank, int64_t now_us)
{
	return rank->first || (rank->reader && now_us - round->heard_us > rank_silent_us);
}
