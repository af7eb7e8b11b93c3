#ifndef POOL_POOL_INT_H
#define POOL_POOL_INT_H

#include "pool/pool.h"

G_BEGIN_DECLS

/* A request that waits for a grant; its fields are copies of those of struct pool_grant_request. */
struct pool_waiting {
	uint64_t entry;
	uint64_t ask_id;
	char *account;
	char *version;
	char **exclude;
};

/* Recomputes the pool's paths and its bound from the usable endpoints. */
void pool_paths_build(struct pool *pool);

/* Removes all paths. */
void pool_paths_clear(struct pool *pool);

/*
 * Chooses the stages for a request for the version among endpoints with free capacity, by the
 * pool's policy. Excluded endpoints are used only if no choice without them exists. Returns the
 * number of stages, or 0 when the request must wait for capacity.
 */
int pool_paths_choose(struct pool *pool, const char *version, char *const *exclude,
		      struct pool_endpoint **stages);

/* Adds change to the requests in flight of the grant's path: 1 when it begins, -1 when it ends. */
void pool_paths_count_grant(struct pool *pool, const struct pool_grant *grant, int change);

/* Returns whether any path exists for the version, regardless of free capacity. */
bool pool_paths_exist(const struct pool *pool, const char *version);

/* Returns the maximum number of requests in flight at the endpoint. */
int pool_endpoint_limit(const struct pool *pool, const struct pool_endpoint *endpoint);

/* Returns whether the endpoint is declared and neither draining, leaving nor down. */
bool pool_endpoint_usable(const struct pool_endpoint *endpoint);

/* Returns whether the endpoint is usable and below its limit of requests in flight. */
bool pool_endpoint_has_room(const struct pool *pool, const struct pool_endpoint *endpoint);

G_END_DECLS

#endif
