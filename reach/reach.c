#include "reach/reach.h"

enum {
	/* Endpoints in a row that must not answer before the host itself is in doubt. */
	REACH_ALONE_MIN = 2,
	/* Time for which a failed call is remembered, in us. */
	REACH_KEEP_US = 3000000
};

void reach_init(struct reach *reach)
{
	*reach = (struct reach){
		.points = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
}

void reach_finish(struct reach *reach)
{
	g_hash_table_destroy(reach->points);
}

void reach_on_answer(struct reach *reach, const char *addr, int64_t began_us)
{
	const struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	reach->answered_us = MAX(reach->answered_us, began_us);
	if (point && began_us >= point->began_us)
		g_hash_table_remove(reach->points, addr);
}

void reach_on_failure(struct reach *reach, const char *addr, int64_t began_us, int64_t now_us)
{
	struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	if (reach->first_failed_us <= reach->answered_us && began_us > reach->answered_us)
		reach->first_failed_us = began_us;
	if (!point) {
		point = g_new0(struct reach_point, 1);
		g_hash_table_insert(reach->points, g_strdup(addr), point);
	}
	point->began_us = MAX(point->began_us, began_us);
	point->failed_us = now_us;
}

static gboolean reach_is_old(gpointer addr, gpointer value, gpointer before_us)
{
	(void)addr;
	return ((const struct reach_point *)value)->failed_us < *(const int64_t *)before_us;
}

void reach_expire(struct reach *reach, int64_t now_us)
{
	int64_t before_us = now_us - REACH_KEEP_US;

	g_hash_table_foreach_remove(reach->points, reach_is_old, &before_us);
}

bool reach_is_alone(const struct reach *reach)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	if (reach->first_failed_us <= reach->answered_us)
		return false;
	g_hash_table_iter_init(&iter, reach->points);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct reach_point *)value)->began_us >= reach->first_failed_us;
	return n >= REACH_ALONE_MIN;
}
