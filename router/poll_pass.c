#include "router/poll_pass.h"

/*
 * Shortest duration of a pass, in microseconds. The reports lag some hundred milliseconds behind
 * the engines, so polling more often would bring little.
 */
static const int64_t pass_min_us = 1000000;

void pass_init(struct pass *pass)
{
	*pass = (struct pass){.round_us = pass_min_us};
	g_queue_init(&pass->due);
}

void pass_finish(struct pass *pass)
{
	g_queue_clear_full(&pass->due, g_free);
}

int64_t pass_duration_us(guint engines)
{
	return MAX(pass_min_us, (int64_t)engines * G_USEC_PER_SEC / PASS_REPORTS_PER_S);
}

void pass_begin(struct pass *pass, const GPtrArray *engines)
{
	guint rounds = MAX((engines->len + PASS_REPORTS_PER_S - 1) / PASS_REPORTS_PER_S, 1);

	g_queue_clear_full(&pass->due, g_free);
	for (guint i = 0; i < engines->len; i++)
		g_queue_push_tail(&pass->due, g_strdup(engines->pdata[i]));
	pass->per_round = (engines->len + rounds - 1) / rounds;
	pass->round_us = pass_duration_us(engines->len) / rounds;
}

bool pass_is_over(const struct pass *pass)
{
	return g_queue_is_empty((GQueue *)&pass->due);
}

GPtrArray *pass_next_round(struct pass *pass)
{
	GPtrArray *round = g_ptr_array_new_with_free_func(g_free);

	while (round->len < pass->per_round && !pass_is_over(pass))
		g_ptr_array_add(round, g_queue_pop_head(&pass->due));
	return round;
}

void pass_retry(struct pass *pass, const char *engine)
{
	if (!pass_is_over(pass))
		g_queue_push_head(&pass->due, g_strdup(engine));
}
