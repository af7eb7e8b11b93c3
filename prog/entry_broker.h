#ifndef PROG_ENTRY_BROKER_H
#define PROG_ENTRY_BROKER_H

#include "prog/entry.h"

/* Shared by the files of the control thread that deal with homes: entry_home, _grant, ... */

/* entry_home.c */

/*
 * The home of a pool, or NULL when every host that could be it is suspected: to wait for such a
 * host again would cost each request the whole limit of silence, and grants can be decided here.
 */
const struct host *entry_home_host(const struct entry *e, const char *key);

/* The connection to a host's control daemon, made if needed; NULL for a bad address. */
struct entry_home *entry_home_connect(struct entry *e, const struct host *host);
struct entry_home *entry_home_find(struct entry *e, const char *host);

/* Something was asked of the home; it answered, or the question was taken back. */
void entry_home_begin_wait(struct entry_home *home);
void entry_home_end_wait(struct entry_home *home);

/* entry_pools.c */
void entry_pool_free(gpointer data);
void entry_pools_on_conf(struct entry *e);

/*
 * A pool for the request: not excluded; avoid: none that refused lately; near: only those that this
 * host keeps to. NULL: none.
 */
struct entry_pool *entry_choose_pool(struct entry *e, const struct entry_grant *grant,
				     const struct entry_pool *excluded, bool skip_refusing,
				     bool preferred_only);

/* entry_grant.c */
void entry_grant_free(gpointer data);
struct entry_grant *entry_grant_by_id(struct entry *e, uint64_t ask_id);
void entry_grant_succeeded(struct entry *e, struct entry_grant *grant, uint64_t grant_id,
			   char **names, size_t n);
void entry_grant_refused(struct entry *e, struct entry_grant *grant, enum pool_refusal why,
			 int64_t retry_us);
int entry_on_grant(struct entry *e, const uint8_t *body, size_t len);
int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len);
int entry_on_held(struct entry *e, const uint8_t *body, size_t len);
void entry_grants_home_lost(struct entry *e, const char *host);
void entry_grants_on_hosts(struct entry *e);

/* entry_local.c */
void entry_local_pool_free(gpointer data);
void entry_local_request_grant(struct entry *e, struct entry_grant *grant);
void entry_local_pools_on_conf(struct entry *e);
void entry_local_pools_tick(struct entry *e, int64_t now_us);

/* entry_claim.c */
void entry_pending_claim_free(gpointer data);
int entry_on_verdict(struct entry *e, const uint8_t *body, size_t len);
void entry_claims_home_lost(struct entry *e, const char *host);

#endif
