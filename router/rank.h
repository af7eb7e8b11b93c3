#ifndef ROUTER_RANK_H
#define ROUTER_RANK_H

#include "host/host.h"

G_BEGIN_DECLS

/*
 * Which hosts read the store, and which of them feeds this one. All hosts rank the hosts of a table
 * alike, by rendezvous hashing, but for those that they have found silent themselves. Pure.
 */
enum {
	/*
	 * Hosts that read the store. Each costs some two calls a second; two bear the loss of one,
	 * and with a third a rack of hosts can go without all others reading at once.
	 */
	RANK_READERS_FEW = 2,
	RANK_READERS = 3,
	RANK_FEW_HOSTS = 10,
	/*
	 * Hosts that are asked for a feed, one after the other. Beyond the readers: when the store
	 * turns these away, the next ones have no feed, read by themselves, and can feed others.
	 */
	RANK_FEEDERS = 6,
	/*
	 * Followers of one host. Where the readers would have more, other hosts relay what they
	 * get: so many that each has half of that, and a reader as many relays as it can have
	 * followers. What a host sends then grows with that number, not with the deployment.
	 */
	RANK_FOLLOWERS = 100,
	RANK_RELAYED = RANK_FOLLOWERS / 2,
	RANK_RELAYS_MAX = RANK_READERS * RANK_FOLLOWERS,
	/* Relays that a host tries, one after the other, before the readers. */
	RANK_RELAYS_TRIED = 3
};

/* Who chooses. */
struct rank_self {
	const char *name;
	const char *zone;
	unsigned int hosts; /* that it knows, also those that can't feed others */
	unsigned int turn;  /* feeders that have proved to be of no use so far */
};

struct rank {
	bool reader;		   /* this host reads the store */
	bool first;		   /* it is the first of the readers */
	bool spare;		   /* it is asked for a feed when no reader is of use */
	bool relay;		   /* it hands its feed on */
	bool relayed;		   /* it follows a relay, if one is of use */
	const struct host *feeder; /* that this host should follow; NULL: nobody else */
};

/* What a host knows of itself when it decides whether to read the store, and whether to feed. */
struct rank_host {
	bool reader;
	bool first_start; /* the whole system starts for the first time */
	bool settled;	  /* it has had the time to find a host that feeds it */
	bool fed;
	bool knows_all; /* what it needs to serve */
	bool reached;	/* its own reads of the store succeed */
	bool patient;	/* its feed was lost so lately that another one may take its place */
	bool relay;
};

/*
 * Whether the host reads the store itself: a reader, and one that has no feed. A host that starts
 * goes on reading until it knows all, though it has a feed: beginning a list of 3,000 endpoints
 * anew each time that the feed changes took 299 hosts 30 s to serve after all were killed, instead
 * of 8.5 s. In the first start it reads only who the hosts are, until it is settled.
 *
 * One that has lost its feed and knows all waits for another feed first. Where the store turns a
 * reader away, a third of all hosts lose their feeds in one moment, and there are others: at 984
 * hosts, each reading the store for that moment, it was asked 28 times a host in a minute.
 */
bool rank_reads(const struct rank_host *host);

/*
 * Whether others may follow the host. One that is no reader reads for a moment when it starts; who
 * follows it then loses its feed again. A relay has what its own feed brings.
 */
bool rank_may_feed(const struct rank_host *host);

/*
 * For how long a host may wait for another feed: what is left of the time in which news must be in
 * force after a silent feed has been given up and the store has been read, half of it kept back.
 * 0: not at all. Spare feeders don't wait, or nobody would find one.
 */
int64_t rank_patience_us(const struct rank *rank, int64_t news_us);

/* Hosts that relay where there are so many; 0: the readers feed all. */
unsigned int rank_relays(unsigned int hosts);

void rank_choose(const struct host_table *table, const struct rank_self *self, int64_t now_us,
		 struct rank *rank);

/*
 * Who asks all engines for their reports: the first reader, in rounds of a second. Each round has a
 * number, which the feeds hand on. A reader that has heard of no round for a while makes them
 * itself: hosts know of each other's death only by what they try themselves, and one that is fed
 * by another does not try the first one. In an outage of the store nobody asked for ten seconds,
 * and two dead engines were sent to all the while.
 */
struct rank_round {
	int64_t number;	  /* of the newest round that is known */
	int64_t heard_us; /* when another host's round was last heard of */
};

/* Another host's round. Returns whether it is news to hand on. */
bool rank_round_heard(struct rank_round *round, int64_t number, int64_t now_us);

/* A round of this host's own has ended; its number is returned. */
int64_t rank_round_done(struct rank_round *round);

/* Whether this host should make rounds. */
bool rank_round_is_ours(const struct rank_round *round, const struct rank *rank, int64_t now_us);

G_END_DECLS

#endif
