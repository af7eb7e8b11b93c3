#ifndef POOL_POOL_INT_H
#define POOL_POOL_INT_H

#include "pool/pool.h"

G_BEGIN_DECLS

struct pool_wait {
	uint64_t entry;
	uint64_t ask_id;
	char *account;
	char *version;
	char **exclude;
};

/* Rebuilds the paths from the endpoints that may take work. */
void pool_paths_build(struct pool *pool);
void pool_paths_clear(struct pool *pool);

/*
 * Chooses the stages for a request of that version among endpoints with room. Endpoints in exclude
 * are used only if nothing else would ever do. Returns the number of stages, 0 when there is no
 * room now.
 */
int pool_paths_choose(struct pool *pool, const char *version, char *const *exclude,
		      struct pool_endpoint **stages);

/* A grant has begun (1) or ended (-1). */
void pool_paths_note(struct pool *pool, const struct pool_grant *grant, int change);

/* Whether any path of that version exists, with room or not. */
bool pool_paths_exist(const struct pool *pool, const char *version);

/* Requests in flight that the endpoint may have. */
int pool_endpoint_limit(const struct pool *pool, const struct pool_endpoint *endpoint);
bool pool_endpoint_usable(const struct pool_endpoint *endpoint);
bool pool_endpoint_has_room(const struct pool *pool, const struct pool_endpoint *endpoint);

G_END_DECLS

#endif
