#ifndef HOST_HOST_H
#define HOST_HOST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The hosts of the system as one node believes them to be: the platform's list, which lags, and the
 * node's own evidence. Pure. Nothing here is a promise: two nodes may believe different things.
 */
enum {
	HOST_NAME_MAX_LEN = 63,
	HOST_ADDR_MAX_LEN = 31
};

enum host_evidence {
	HOST_HEARD,   /* it answered */
	HOST_REFUSED, /* it refused the connection or closed it */
	HOST_SILENT   /* it did not answer in time */
};

struct host {
	char name[HOST_NAME_MAX_LEN + 1];
	char zone[HOST_NAME_MAX_LEN + 1];
	char control_addr[HOST_ADDR_MAX_LEN + 1];  /* frames of bgcontrold */
	char operator_addr[HOST_ADDR_MAX_LEN + 1]; /* HTTP of bgcontrold */
	char peer_addr[HOST_ADDR_MAX_LEN + 1];	   /* frames of bgentryd */
	bool leaving;				   /* the list or the configuration says so */
	bool listed_leaving;			   /* the list says so */
	uint64_t seed;				   /* hash of the name */
	int64_t suspect_until_us;		   /* passed over as a home until then */
	int failures;				   /* in a row; lengthens the next suspicion */
};

struct host_table {
	GPtrArray *hosts; /* struct host, in order of name */
	int64_t suspect_us;
};

void host_table_init(struct host_table *table, int64_t suspect_us);
void host_table_finish(struct host_table *table);

/* Replaces the list; evidence about hosts that stay is kept. items is copied. */
void host_on_list(struct host_table *table, const struct host *items, size_t n);

void host_on_evidence(struct host_table *table, const char *name, enum host_evidence evidence,
		      int64_t now_us);

struct host *host_find(const struct host_table *table, const char *name);

/*
 * The rank-th home (0 first) of a key among the hosts that are neither leaving nor suspected, by
 * rendezvous hashing. When that leaves nobody, suspected and leaving hosts count too. NULL: no
 * host.
 */
const struct host *host_home(const struct host_table *table, const char *key, unsigned int rank,
			     int64_t now_us);

/*
 * The first homes of a key, the highest first: what host_home() gives for the ranks from 0 on,
 * where hosts are usable. Fills at most "most" of them; returns how many.
 */
unsigned int host_homes(const struct host_table *table, const char *key, const struct host **homes,
			unsigned int most, int64_t now_us);

/* Hosts that are not leaving by the list. */
unsigned int host_live_count(const struct host_table *table);

/* Weight of a host for a key; the highest is the home. */
uint64_t host_weight(const struct host *host, uint64_t key_hash);

G_END_DECLS

#endif
