#ifndef PROG_ENTRY_BROKER_H
#define PROG_ENTRY_BROKER_H

#include "prog/entry.h"

/* Functions of the control thread that request grants and claims from their homes. */

/* --- entry_home.c --- */

/*
 * Returns the host that is home of a pool, or NULL when every candidate is suspected. Waiting for a
 * suspected host would cost each request the whole silence limit, while grants can be decided
 * locally.
 */
const struct host *entry_home_host(const struct entry *e, const char *key);

/* Returns the connection to a host, which is opened if needed; NULL if its address is invalid. */
struct entry_home *entry_home_connect(struct entry *e, const struct host *host);

/* Returns the connection to a host, or NULL if there is none. host may be NULL. */
struct entry_home *entry_home_find(struct entry *e, const char *host);

/* Counts a grant request or claim that was sent to the home and awaits an answer. */
void entry_home_begin_wait(struct entry_home *home);

/* Counts a grant request or claim that was answered or withdrawn. home may be NULL. */
void entry_home_end_wait(struct entry_home *home);

/* --- entry_pools.c --- */

/* Frees a struct entry_pool. */
void entry_pool_free(gpointer data);

/* Updates the pools from the endpoints of the configuration. */
void entry_pools_on_conf(struct entry *e);

/*
 * Chooses a pool for a request, never the excluded one. skip_refusing leaves out pools that refused
 * a grant recently (see entry_pool.avoid_until_us); preferred_only leaves out pools that this host
 * does not prefer. Returns NULL if no pool is left.
 */
struct entry_pool *entry_choose_pool(struct entry *e, const struct entry_grant *grant,
				     const struct entry_pool *excluded, bool skip_refusing,
				     bool preferred_only);

/* --- entry_grant.c --- */

/* Frees a struct entry_grant. */
void entry_grant_free(gpointer data);

/* Returns the grant with this ask_id, or NULL. */
struct entry_grant *entry_grant_by_id(struct entry *e, uint64_t ask_id);

/* Records that a grant was given for the n named endpoints, and informs the traffic thread. */
void entry_grant_succeeded(struct entry *e, struct entry_grant *grant, uint64_t grant_id,
			   char **names, size_t n);

/* Handles a refusal: asks another pool if one is left, else informs the traffic thread. */
void entry_grant_refused(struct entry *e, struct entry_grant *grant, enum pool_refusal why,
			 int64_t retry_us);

/* Handlers of messages from homes. They return 0 or BASE_EFRAME. */
int entry_on_grant(struct entry *e, const uint8_t *body, size_t len);
int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len);
int entry_on_held(struct entry *e, const uint8_t *body, size_t len);

/* Moves the grants and grant requests of a lost home to the next home. */
void entry_grants_home_lost(struct entry *e, const char *host);

/* Moves grants and grant requests whose pools have another home in a new list of hosts. */
void entry_grants_on_hosts(struct entry *e);

/* --- entry_local.c --- */

/* Frees a struct pool that was decided locally. */
void entry_local_pool_free(gpointer data);

/* Requests a grant from this host's own pool state instead of a home. */
void entry_local_request_grant(struct entry *e, struct entry_grant *grant);

/* Updates the pools that are decided locally after a change of the configuration. */
void entry_local_pools_on_conf(struct entry *e);

/* Does the periodic work of the pools that are decided locally. */
void entry_local_pools_tick(struct entry *e, int64_t now_us);

/* --- entry_claim.c --- */

/* Frees a struct entry_pending_claim. */
void entry_pending_claim_free(gpointer data);

/* Handles the answer to a claim. Returns 0 or BASE_EFRAME. */
int entry_on_verdict(struct entry *e, const uint8_t *body, size_t len);

/* Sends the pending claims of a lost home to the next home. */
void entry_claims_home_lost(struct entry *e, const char *host);

#endif
