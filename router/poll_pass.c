#include "router/poll_pass.h"

/* Engines report with a lag of some hundred ms, so asking more often brings little. */
static const int64_t pp_least_us = 1000000;

void pp_init(struct pp *pp)
{
	*pp = (struct pp){.round_us = pp_least_us};
	g_queue_init(&pp->due);
}

void pp_finish(struct pp *pp)
{
	g_queue_clear_full(&pp->due, g_free);
}

int64_t pp_pass_us(guint engines)
{
	return MAX(pp_least_us, (int64_t)engines * G_USEC_PER_SEC / PP_PER_S);
}

void pp_begin(struct pp *pp, const GPtrArray *engines)
{
	guint rounds = MAX((engines->len + PP_PER_S - 1) / PP_PER_S, 1);

	g_queue_clear_full(&pp->due, g_free);
	for (guint i = 0; i < engines->len; i++)
		g_queue_push_tail(&pp->due, g_strdup(engines->pdata[i]));
	pp->per_round = (engines->len + rounds - 1) / rounds;
	pp->round_us = pp_pass_us(engines->len) / rounds;
}

bool pp_is_over(const struct pp *pp)
{
	return g_queue_is_empty((GQueue *)&pp->due);
}

GPtrArray *pp_take(struct pp *pp)
{
	GPtrArray *round = g_ptr_array_new_with_free_func(g_free);

	while (round->len < pp->per_round && !pp_is_over(pp))
		g_ptr_array_add(round, g_queue_pop_head(&pp->due));
	return round;
}

void pp_ask_again(struct pp *pp, const char *engine)
{
	if (!pp_is_over(pp))
		g_queue_push_head(&pp->due, g_strdup(engine));
}
