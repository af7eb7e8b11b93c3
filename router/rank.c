#include "router/rank.h"
#include "base/str.h"

#include <string.h>

static const char rank_key[] = "readers of the store";

/*
 * Time from the last message of a feed that falls silent until the host has given it up and has
 * read the store, in microseconds.
 */
static const int64_t rank_feed_change_us = 2000000;

/*
 * Time without a new round after which another reader polls, in microseconds. It is three rounds:
 * one round may be late, and so may a feed that has to be replaced.
 */
static const int64_t rank_round_timeout_us = 3000000;

/* Readers, spare feeders and relays, the host ranked first at index 0. */
struct rank_list {
	const struct host *hosts[RANK_FEEDERS_TRIED + RANK_RELAYS_MAX];
	unsigned int n;	      /* number of hosts in the list */
	unsigned int readers; /* number of readers; they are the first hosts in the list */
	unsigned int feeders; /* number of readers and spare feeders; the relays are listed next */
};

unsigned int rank_relay_count(unsigned int hosts)
{
	if (hosts <= RANK_READERS * RANK_FOLLOWERS_TARGET)
		return 0;
	return MIN((hosts + RANK_RELAY_FOLLOWERS - 1) / RANK_RELAY_FOLLOWERS,
		   (unsigned int)RANK_RELAYS_MAX);
}

static void rank_list_candidates(const struct host_table *table, unsigned int hosts, int64_t now_us,
				 struct rank_list *list)
{
	unsigned int max_readers =
		table->hosts->len <= RANK_SMALL_HOSTS ? RANK_READERS_SMALL : RANK_READERS;
	unsigned int candidates = RANK_FEEDERS_TRIED + rank_relay_count(hosts);
	const struct host *fallback = host_home(table, rank_key, 0, now_us);

	list->n = host_homes(table, rank_key, list->hosts, candidates, now_us);
	if (list->n == 0 && fallback)
		list->hosts[list->n++] = fallback;
	list->feeders = MIN(list->n, (unsigned int)RANK_FEEDERS_TRIED);
	list->readers = MIN(list->n, max_readers);
}

/* Sets the roles of the named host. Returns its index in the list, or the list's length. */
static unsigned int rank_set_roles(const struct rank_list *list, const char *name,
				   struct rank *rank)
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

/*
 * Returns the feeder for that turn, one of the first "feeders" hosts but the host itself. The
 * readers come first, beginning with the one at index "start", then the spare feeders.
 */
static const struct host *rank_feeder_at(const struct rank_list *list, const char *name,
					 unsigned int feeders, unsigned int start,
					 unsigned int turn)
{
	for (unsigned int i = 0; i < feeders; i++) {
		unsigned int at = (i + turn) % feeders;
		const struct host *host = at < list->readers
						  ? list->hosts[(start + at) % list->readers]
						  : list->hosts[at];

		if (strcmp(host->name, name) != 0)
			return host;
	}
	return NULL;
}

/*
 * Returns whether the host follows relay "a" rather than relay "b". A relay in its own availability
 * zone is nearer and costs less; otherwise the hash of the host's name spreads hosts over the
 * relays.
 */
static bool rank_prefers_relay(const struct rank_self *self, uint64_t hash, const struct host *a,
			       const struct host *b)
{
	bool near_a = strcmp(a->zone, self->zone) == 0;
	bool near_b = strcmp(b->zone, self->zone) == 0;

	if (near_a != near_b)
		return near_a;
	return host_weight(a, hash) > host_weight(b, hash);
}

/* Returns the number of relays that the host prefers to the given one. */
static unsigned int rank_count_preferred(const struct rank_list *list, const struct rank_self *self,
					 const struct host *relay)
{
	uint64_t hash = str_hash(self->name, strlen(self->name), 0);
	unsigned int preferred = 0;

	for (unsigned int i = list->feeders; i < list->n; i++)
		preferred += rank_prefers_relay(self, hash, list->hosts[i], relay);
	return preferred;
}

/* Returns the relay that the host tries at its present turn, or NULL if there is none left. */
static const struct host *rank_relay_at(const struct rank_list *list, const struct rank_self *self)
{
	for (unsigned int i = list->feeders; i < list->n; i++) {
		if (rank_count_preferred(list, self, list->hosts[i]) == self->turn)
			return list->hosts[i];
	}
	return NULL;
}

unsigned int rank_feeders_tried_max(bool follows_relay)
{
	return RANK_FEEDERS_TRIED + (follows_relay ? RANK_RELAYS_TRIED : 0);
}

/*
 * Readers follow the next reader, so that a reader that the store rejects has a feed. Spare feeders
 * and relays follow readers. All other hosts follow relays if there are any, otherwise readers.
 */
void rank_choose_roles(const struct host_table *table, const struct rank_self *self, int64_t now_us,
		       struct rank *rank)
{
	struct rank_list list;
	unsigned int turn = self->turn;
	unsigned int feeders;
	unsigned int start;
	unsigned int at;

	memset(rank, 0, sizeof(*rank));
	rank_list_candidates(table, self->hosts, now_us, &list);
	if (list.n == 0)
		return;
	at = rank_set_roles(&list, self->name, rank);
	rank->follows_relay = at == list.n && list.n > list.feeders;
	if (rank->follows_relay && turn < RANK_RELAYS_TRIED) {
		rank->feeder = rank_relay_at(&list, self);
		if (rank->feeder)
			return;
	}
	if (rank->follows_relay)
		turn -= MIN(turn, (unsigned int)RANK_RELAYS_TRIED);
	start = rank->reader ? at + 1
			     : (unsigned int)(str_hash(self->name, strlen(self->name), 0) %
					      list.readers);
	feeders = rank->spare && turn >= rank_feeders_tried_max(false) ? at : list.feeders;
	rank->feeder = rank_feeder_at(&list, self->name, feeders, start, turn);
}

bool rank_should_read_store(const struct rank_state *host)
{
	if (host->reader)
		return true;
	if (!host->fed)
		return !host->can_serve || !host->awaits_feed;
	return host->first_start ? !host->settled : !host->can_serve;
}

int64_t rank_feed_wait_us(const struct rank *rank, int64_t apply_limit_us)
{
	if (rank->reader || rank->spare)
		return 0;
	return MAX(apply_limit_us - rank_feed_change_us, 0) / 2;
}

bool rank_may_feed(const struct rank_state *host)
{
	if (host->relay && host->fed)
		return true;
	return host->reached && (host->reader || host->settled);
}

bool rank_round_received(struct rank_round *round, int64_t number, int64_t now_us)
{
	bool is_new = number > round->number;

	if (number >= round->number)
		round->received_us = now_us;
	if (is_new)
		round->number = number;
	return is_new;
}

int64_t rank_round_ended(struct rank_round *round)
{
	return ++round->number;
}

bool rank_should_poll(const struct rank_round *round, const struct rank *rank, int64_t now_us)
{
	return rank->first || (rank->reader && now_us - round->received_us > rank_round_timeout_us);
}
