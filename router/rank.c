#include "router/rank.h"
#include "base/str.h"

#include <string.h>

static const char rank_key[] = "readers of the store";

/* From the last news of a feed that falls silent until it is given up and the store was read. */
static const int64_t rank_change_us = 2000000;

/* Three rounds that were not heard of; one may be late, as a feed that has to be changed may be. */
static const int64_t rank_silent_us = 3000000;

static unsigned int rank_list(const struct host_table *table, const struct host **hosts,
			      int64_t now_us)
{
	unsigned int n = 0;

	while (n < RANK_FEEDERS) {
		const struct host *host = host_home(table, rank_key, n, now_us);

		if (!host)
			break;
		hosts[n++] = host;
	}
	return n;
}

/* Readers follow the next reader, so that one that the store turns away has a feed. */
void rank_choose(const struct host_table *table, const char *self, unsigned int turn,
		 int64_t now_us, struct rank *rank)
{
	const struct host *hosts[RANK_FEEDERS];
	unsigned int n = rank_list(table, hosts, now_us);
	unsigned int most = table->hosts->len <= RANK_FEW_HOSTS ? RANK_READERS_FEW : RANK_READERS;
	unsigned int readers = MIN(n, most);
	unsigned int start;

	memset(rank, 0, sizeof(*rank));
	if (n == 0)
		return;
	start = (unsigned int)(str_hash(self, strlen(self), 0) % MAX(readers, 1));
	for (unsigned int i = 0; i < readers; i++) {
		if (strcmp(hosts[i]->name, self) != 0)
			continue;
		rank->reader = true;
		rank->first = i == 0;
		start = (i + 1) % readers;
	}
	for (unsigned int i = readers; i < n; i++)
		rank->spare = rank->spare || strcmp(hosts[i]->name, self) == 0;
	for (unsigned int i = 0; i < n && !rank->feeder; i++) {
		unsigned int at = i + turn;
		/* The readers come first, from this host's own one on; the others follow. */
		const struct host *host =
			at % n < readers ? hosts[(start + at % n) % readers] : hosts[at % n];

		if (strcmp(host->name, self) != 0)
			rank->feeder = host;
	}
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
