#ifndef HOST_HOST_H
#define HOST_HOST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Table of the hosts of the system as one of them knows it: the platform's list, which lags behind,
 * and the host's own observations. The tables of two hosts may differ at any time. The module does
 * no I/O.
 */
enum {
	HOST_NAME_MAX_LEN = 63, /* longest name of a host or zone, in bytes */
	HOST_ADDR_MAX_LEN = 31	/* longest address, in bytes */
};

/* Observation about a host by the host that keeps the table. */
enum host_evidence {
	HOST_ANSWERED, /* the host answered */
	HOST_REFUSED,  /* the host refused or closed the connection */
	HOST_TIMED_OUT /* the host did not answer in time */
};

/* A host of the system. */
struct host {
	char name[HOST_NAME_MAX_LEN + 1];	   /* name of the host */
	char zone[HOST_NAME_MAX_LEN + 1];	   /* availability zone of the host */
	char control_addr[HOST_ADDR_MAX_LEN + 1];  /* address of bgcontrold for frames */
	char operator_addr[HOST_ADDR_MAX_LEN + 1]; /* address of bgcontrold for HTTP */
	char peer_addr[HOST_ADDR_MAX_LEN + 1];	   /* address of bgentryd for frames */
	bool leaving;		  /* whether the list or the configuration marks it as leaving */
	bool listed_leaving;	  /* whether the list marks the host as leaving */
	uint64_t seed;		  /* hash of the name */
	int64_t suspect_until_us; /* time until which it isn't chosen as home, in microseconds */
	int failures;		  /* number of failures in a row; each makes the suspicion longer */
};

/* Table of all hosts. */
struct host_table {
	GPtrArray *hosts;   /* struct host, sorted by name */
	int64_t suspect_us; /* duration of the suspicion after one failure, in microseconds */
};

void host_table_init(struct host_table *table, int64_t suspect_us);
void host_table_finish(struct host_table *table);

/* Replaces the list by a copy of items. Evidence about hosts that stay in the list is kept. */
void host_on_list(struct host_table *table, const struct host *items, size_t n);

/* Records an observation about a host: a failure starts a suspicion, an answer ends it. */
void host_on_evidence(struct host_table *table, const char *name, enum host_evidence evidence,
		      int64_t now_us);

/* Returns the host of that name, or NULL. */
struct host *host_find(const struct host_table *table, const char *name);

/*
 * Returns the rank-th home (0 is the first) of a key among the hosts that are neither leaving nor
 * suspected, by rendezvous hashing. If there is none and rank is 0, the choice is made among
 * suspected and leaving hosts. Returns NULL if no host is found.
 */
const struct host *host_home(const struct host_table *table, const char *key, unsigned int rank,
			     int64_t now_us);

/*
 * Stores the first homes of a key, the one of the highest weight first: the same hosts that
 * host_home() returns for the ranks from 0 on, but only hosts that are neither leaving nor
 * suspected. Stores at most "max" hosts and returns their number.
 */
unsigned int host_homes(const struct host_table *table, const char *key, const struct host **homes,
			unsigned int max, int64_t now_us);

/* Returns the number of hosts that are not marked as leaving. */
unsigned int host_live_count(const struct host_table *table);

/* Returns the weight of a host for a key. The host of the highest weight is the key's home. */
uint64_t host_weight(const struct host *host, uint64_t key_hash);

G_END_DECLS

#endif
