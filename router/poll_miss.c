#include "router/poll_miss.h"

void miss_init(struct miss *miss)
{
	miss->misses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	miss->silent = g_ptr_array_new_with_free_func(g_free);
	miss->answered = 0;
}

void miss_finish(struct miss *miss)
{
	g_hash_table_destroy(miss->misses);
	g_ptr_array_unref(miss->silent);
}

void miss_begin(struct miss *miss)
{
	g_ptr_array_set_size(miss->silent, 0);
	miss->answered = 0;
}

void miss_on_answer(struct miss *miss, const char *engine)
{
	miss->answered++;
	g_hash_table_remove(miss->misses, engine);
}

static int miss_count(const struct miss *miss, const char *engine)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(miss->misses, engine));
}

void miss_on_silence(struct miss *miss, const char *engine)
{
	g_hash_table_replace(miss->misses, g_strdup(engine),
			     GINT_TO_POINTER(miss_count(miss, engine) + 1));
	g_ptr_array_add(miss->silent, g_strdup(engine));
}

void miss_end(struct miss *miss, miss_fn fn, void *ctx)
{
	if (miss->answered < miss->silent->len) {
		g_hash_table_remove_all(miss->misses);
		return;
	}
	for (guint i = 0; i < miss->silent->len; i++) {
		const char *engine = miss->silent->pdata[i];

		fn(ctx, engine, miss_count(miss, engine) >= MISS_DEAD);
	}
}

static gboolean miss_is_unlisted(gpointer engine, gpointer misses, gpointer listed)
{
	(void)misses;
	return !g_hash_table_contains(listed, engine);
}

void miss_forget_unlisted(struct miss *miss, GHashTable *listed)
{
	g_hash_table_foreach_remove(miss->misses, miss_is_unlisted, listed);
}

guint miss_count_silent(const struct miss *miss)
{
	return g_hash_table_size(miss->misses);
}
