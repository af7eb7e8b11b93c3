#ifndef ROUTER_RANK_H
#define ROUTER_RANK_H

#include "host/host.h"

G_BEGIN_DECLS

/*
 * Chooses which hosts read the store and which host this host follows, that is, receives its feed
 * from. All hosts compute the same ranking of the hosts in a table by rendezvous hashing, except
 * that each host leaves out those that it has found silent itself. Pure functions.
 */
enum {
	/*
	 * Number of hosts that read the store. Each reader makes about two calls a second. Two
	 * readers tolerate the loss of one; with a third reader, a rack of hosts can fail without
	 * all other hosts reading the store at once.
	 */
	RANK_READERS_SMALL = 2, /* number of readers among at most RANK_SMALL_HOSTS hosts */
	RANK_READERS = 3,	/* number of readers among more hosts than that */
	RANK_SMALL_HOSTS = 10,	/* largest number of hosts with RANK_READERS_SMALL readers */
	/*
	 * Number of readers and spare feeders that a host tries as its feeder, one after the other.
	 * Spare feeders are the hosts ranked next to the readers: when the store rejects the
	 * readers, the spare feeders have no feed, read the store themselves and can feed others.
	 */
	RANK_FEEDERS_TRIED = 6,
	/*
	 * Number of followers that a host is meant to serve. If the readers would have more, relays
	 * pass on the feed that they receive. There are so many relays that each has half of this
	 * number of followers, and each reader at most this number of relays. What a host sends
	 * then depends on this number, not on the size of the deployment.
	 */
	RANK_FOLLOWERS_TARGET = 100,
	RANK_RELAY_FOLLOWERS = RANK_FOLLOWERS_TARGET / 2,	/* number of followers of a relay */
	RANK_RELAYS_MAX = RANK_READERS * RANK_FOLLOWERS_TARGET, /* largest number of relays */
	/* Number of relays that a host tries, one after the other, before the readers. */
	RANK_RELAYS_TRIED = 3
};

/* The host that chooses its feeder. */
struct rank_self {
	const char *name;
	const char *zone;
	unsigned int hosts; /* number of known hosts, including those that can't feed others */
	unsigned int turn;  /* number of feeders that it has tried without success so far */
};

/*
 * Returns the number of feeders that a host tries before it takes the store to be unavailable. From
 * then on a spare feeder follows only readers and spare feeders that are ranked before it. So each
 * host's feeder leads to a reader in a few steps, and what the first reader reads when the store is
 * back reaches all hosts by messages. Spare feeders that followed each other in a ring learned of
 * it by calls of their own to the store, up to 2.5 s later.
 */
unsigned int rank_feeders_tried_max(bool follows_relay);

/* Roles of a host, and the feeder that it should follow. */
struct rank {
	bool reader;		   /* the host reads the store */
	bool first;		   /* the host is the first of the readers */
	bool spare;		   /* other hosts try this host as feeder after the readers */
	bool relay;		   /* the host passes on the feed that it receives */
	bool follows_relay;	   /* the host follows a relay, if a working one is found */
	const struct host *feeder; /* the host to follow; NULL if there is none */
};

/* State of a host that decides whether it reads the store and whether it may feed others. */
struct rank_state {
	bool reader;	  /* the host has the role of a reader */
	bool first_start; /* the whole system starts for the first time */
	bool settled;	  /* the host has had the time to find a feeder after its start */
	bool fed;	  /* the host receives a working feed */
	bool can_serve;	  /* the host has the configuration and endpoints that it serves with */
	bool reached;	  /* the host's own reads of the store succeed */
	bool awaits_feed; /* the feed was lost less than rank_feed_wait_us() ago */
	bool relay;	  /* the host has the role of a relay */
};

/*
 * Returns whether the host reads the store itself. Readers do, and hosts without a feed. A host
 * that starts goes on reading until it can serve, even if it has a feed: when it began the list of
 * 3,000 endpoints again with each change of its feed, 299 hosts that had all been killed took 30 s
 * until they served, instead of 8.5 s. In the first start of the system a host reads only the list
 * of hosts, and only until it is settled.
 *
 * A host that has lost its feed and can serve first waits for another feed. If the store rejects a
 * reader, a third of all hosts lose their feeds at the same time although other feeders work: when
 * each of 984 hosts read the store meanwhile, the store received 28 calls per host in a minute.
 */
bool rank_should_read_store(const struct rank_state *host);

/*
 * Returns whether other hosts may follow the host. A host that is not a reader reads the store only
 * briefly when it starts, so its followers would soon lose their feed; therefore it must be
 * settled. A relay may feed others while it receives a feed itself.
 */
bool rank_may_feed(const struct rank_state *host);

/*
 * Returns for how long a host may wait for another feed before it reads the store, in microseconds.
 * "apply_limit_us" is the time within which a change in the store must take effect on the host.
 * Giving up a silent feed and reading the store takes a part of that; the result is half of the
 * rest. It is 0 for readers, and for spare feeders, which must read the store at once for others to
 * follow them.
 */
int64_t rank_feed_wait_us(const struct rank *rank, int64_t apply_limit_us);

/* Returns the number of relays in a deployment of that many hosts; 0 if the readers feed all. */
unsigned int rank_relay_count(unsigned int hosts);

/* Sets the roles of the host "self" and the feeder that it should follow. */
void rank_choose_roles(const struct host_table *table, const struct rank_self *self, int64_t now_us,
		       struct rank *rank);

/*
 * Decides which host polls all engines for their reports. The first reader does, in rounds of a
 * second. Each round has a number, which the feeds pass on. Another reader that has received no new
 * number for three seconds polls, too: a host detects the failure of another host only by its own
 * connections, and a reader that is fed by a third host has no connection to the first reader. In
 * an outage of the store no host polled for ten seconds, and requests were sent to two dead engines
 * during that time.
 */
struct rank_round {
	int64_t number;	     /* number of the latest round that is known */
	int64_t received_us; /* time at which a round of another host was last received, in us */
};

/* Handles the number of another host's round. Returns whether it is new and must be passed on. */
bool rank_round_received(struct rank_round *round, int64_t number, int64_t now_us);

/* Records that a round of this host has ended. Returns the number of that round. */
int64_t rank_round_ended(struct rank_round *round);

/* Returns whether this host should poll the engines. */
bool rank_should_poll(const struct rank_round *round, const struct rank *rank, int64_t now_us);

G_END_DECLS

#endif
