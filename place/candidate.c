#include "place/candidate.h"
#include "place/draft.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	PL_PARTS = 13,		/* parts of the memory for layers that are tried */
	PL_MANY_NODES = 200,	/* number of nodes from which fewer shapes are judged */
	PL_JUDGED_MAX_MANY = 4, /* shapes that are judged for many nodes */
	/* Most nodes for which plans are judged, to bound the CPU time of a plan. */
	PL_JUDGED_NODES_MAX = 1000,
	PL_NEIGHBOURS_MAX = 2 * PL_SHAPE_SIZES_MAX, /* shapes that differ in one length */
	PL_CANDIDATES_MAX = PL_PARTS + PL_NEIGHBOURS_MAX
};

/* Least part of the memory for layers that is tried, and the step to the next one. */
static const double pl_part_first = 0.50;
static const double pl_part_step = 0.03;

/*
 * Largest ratio of the cost with common cut points to the cost with arbitrary ones at which common
 * cut points are used. They make pipelines shorter, since each stage runs all layers of its
 * endpoint, and a lost stage is replaced by a single other endpoint. A higher ratio means that some
 * layer has too few copies.
 */
static const double pl_common_cost_max = 1.02;

/*
 * Least ratio of the rate that another shape bears to that of the usual one at which it is used.
 * The judgement leaves out how requests are spread over equal endpoints, so small differences mean
 * nothing.
 */
static const double pl_rate_ratio_min = 1.25;

/*
 * Largest ratio of the stages of the chosen shape to those of the usual one. Longer pipelines are
 * slower, and a lost endpoint affects more of them.
 */
static const double pl_stages_ratio_max = 1.015;

/*
 * A shape whose pipelines are slightly longer than that is used only if it bears half as much again
 * as the usual one: it then keeps requests from being rejected, which outweighs slower tokens.
 */
static const double pl_longer_stages_ratio_max = 1.05;
static const double pl_longer_rate_ratio_min = 1.5;

/*
 * Largest ratio of the stages of a shape to those of the usual one at which it is kept in the
 * search, because a neighbour of it may have shorter pipelines.
 */
static const double pl_search_stages_ratio_max = 1.1;

/*
 * Endpoints that are lost at a time. A request that passes through none of them is not paused. An
 * endpoint without a twin counts as two, since at least two others have to read its layers anew.
 */
static const double pl_lost_together = 3;

/* A shape and an estimate of its worth, by which the shapes are ordered. */
struct pl_candidate {
	struct pl_shape shape;
	double bound;
};

/* A search for the best shape. */
struct pl_search {
	const struct pl_draft *usual;	/* draft of the usual shape */
	struct pl_option usual_option;	/* judgement of the usual shape */
	const struct pl_demand *demand; /* what callers ask of the service */
	bool found;			/* whether there is a best draft */
	struct pl_draft best;		/* draft that is worth most */
	struct pl_option option;	/* judgement of the best draft */
	int tried;			/* number of shapes that were drafted and judged */
};

/* Returns what a placement of n nodes is worth that is judged so: the rate that survives losses. */
static double pl_worth(const struct jdg_result *result, int n)
{
	double affected = result->stages * (2 - result->twins);
	double spared = n > 0 ? 1 - MIN(affected / n, 1) : 0;

	return result->rate_borne * pow(spared, pl_lost_together);
}

static void pl_option_fill(struct pl_option *option, const struct pl_node *planned,
			   const struct pl_draft *draft, const struct jdg_result *bears)
{
	memset(option, 0, sizeof(*option));
	option->unit = draft->shape->unit;
	for (int i = 0; i < draft->n; i++) {
		int length = planned[i].to - planned[i].from;

		option->length_max = MAX(option->length_max, length);
		if (length > 0 && (option->length_min == 0 || length < option->length_min))
			option->length_min = length;
	}
	option->rate = bears->rate_borne;
	option->tokens = bears->tokens[JDG_CALM];
	option->tokens_one = bears->tokens[JDG_ONE];
	option->event_ms = bears->event_ms;
	option->stages = bears->stages;
	option->worth = pl_worth(bears, draft->n);
}

/* Judges the draft as if its ranges were held. */
static void pl_judge_draft(const struct pl_draft *draft, const struct rt_engine *engine,
			   const struct pl_demand *demand, struct pl_option *option)
{
	struct pl_node *planned = g_new(struct pl_node, (gsize)draft->n + 1);
	struct jdg_result bears;

	for (int i = 0; i < draft->n; i++) {
		planned[i] = draft->nodes[i];
		planned[i].from = draft->ranges[i].from;
		planned[i].to = draft->ranges[i].to;
	}
	jdg_bear(engine, planned, draft->n, demand, &bears);
	pl_option_fill(option, planned, draft, &bears);
	g_free(planned);
}

/*
 * Drafts a plan of the usual shape. The cut points can be chosen freely, so a draft with common cut
 * points is compared to one with arbitrary ones.
 */
static void pl_draft_usual(struct pl_draft *draft, const struct rt_engine *engine,
			   const struct pl_node *nodes, const int *order, int n,
			   struct pl_shape *shape)
{
	struct pl_shape single_shape;
	struct pl_draft single;
	bool is_common_cheap;

	pl_shape_choose(engine, nodes, n, &pl_usual_room, shape);
	single_shape = *shape;
	pl_shape_set_unit(&single_shape, 1);
	pl_draft_init(draft, engine, nodes, order, n, shape);
	pl_draft_init(&single, engine, nodes, order, n, &single_shape);
	is_common_cheap =
		cov_cost(&draft->coverage) <= cov_cost(&single.coverage) * pl_common_cost_max;
	pl_draft_finish(is_common_cheap ? &single : draft);
	if (is_common_cheap)
		return;
	*shape = single_shape;
	*draft = single;
	draft->shape = shape;
}

/* Returns whether the two shapes give each node the same length and have the same unit. */
static bool pl_shapes_equal(const struct pl_shape *a, const struct pl_shape *b,
			    const struct pl_node *nodes, int n)
{
	if (a->unit != b->unit)
		return false;
	for (int i = 0; i < n; i++) {
		if (pl_range_length(a, &nodes[i]) != pl_range_length(b, &nodes[i]))
			return false;
	}
	return true;
}

/*
 * Returns what a placement of that shape would be worth if memory were spread evenly over the
 * layers and a pipeline had the mean number of stages.
 */
static double pl_bound(const struct pl_shape *shape, const struct pl_node *nodes, int n)
{
	double token_layers = 0;
	double stages = 0;

	for (int i = 0; i < n; i++) {
		int length = MIN(pl_range_length(shape, &nodes[i]), shape->engine->layers);
		double tokens = pl_context_capacity(shape->engine, nodes[i].memory_mb, length);

		token_layers += tokens * length;
		stages += tokens;
	}
	if (token_layers <= 0)
		return 0;
	stages *= shape->engine->layers / token_layers;
	return token_layers * pow(1 - MIN(stages / n, 1), pl_lost_together);
}

static void pl_add_candidate(struct pl_candidate *candidates, int *count,
			     const struct pl_shape *shape, const struct pl_node *nodes, int n)
{
	for (int i = 0; i < *count; i++) {
		if (pl_shapes_equal(&candidates[i].shape, shape, nodes, n))
			return;
	}
	candidates[*count].shape = *shape;
	candidates[(*count)++].bound = pl_bound(shape, nodes, n);
}

static int pl_compare_bounds(const void *a, const void *b)
{
	const struct pl_candidate *ca = a;
	const struct pl_candidate *cb = b;

	if (ca->bound != cb->bound)
		return ca->bound > cb->bound ? -1 : 1;
	return cb->shape.unit - ca->shape.unit;
}

/* Lists the shapes to try, the one with the highest bound first. Returns their number. */
static int pl_list_candidates(const struct rt_engine *engine, const struct pl_node *nodes, int n,
			      struct pl_candidate *candidates)
{
	int count = 0;

	for (int i = 0; i < PL_PARTS; i++) {
		struct pl_room room = {.layer_part = pl_part_first + i * pl_part_step};
		struct pl_shape shape;

		/* With so many tokens, layer_part alone decides the length of ranges. */
		room.context_tokens = G_MAXDOUBLE;
		pl_shape_choose(engine, nodes, n, &room, &shape);
		pl_shape_fix_lengths(&shape, nodes, n);
		shape.by_memory = true;
		if (shape.unit > 0)
			pl_add_candidate(candidates, &count, &shape, nodes, n);
	}
	qsort(candidates, count, sizeof(*candidates), pl_compare_bounds);
	return count;
}

/* Returns whether the usual plan leaves a layer without a holder, so that it serves nothing. */
static bool pl_has_gap(const struct pl_option *usual)
{
	return usual->stages <= 0;
}

/* Returns whether the option bears clearly more than the usual one and is not far longer. */
static bool pl_is_eligible(const struct pl_option *option, const struct pl_option *usual)
{
	if (pl_has_gap(usual))
		return option->rate > 0;
	return option->rate >= usual->rate * pl_rate_ratio_min &&
	       option->stages <= usual->stages * pl_search_stages_ratio_max &&
	       option->worth > usual->worth;
}

/* Drafts and judges the shape, and keeps it if it is worth more than the best one so far. */
static void pl_try_shape(struct pl_search *search, const struct pl_shape *shape)
{
	const struct pl_draft *usual = search->usual;
	struct pl_option option;
	struct pl_draft draft;

	pl_draft_init(&draft, shape->engine, usual->nodes, usual->order, usual->n, shape);
	pl_judge_draft(&draft, shape->engine, search->demand, &option);
	search->tried++;
	if (!pl_is_eligible(&option, &search->usual_option) ||
	    (search->found && option.worth <= search->option.worth)) {
		pl_draft_finish(&draft);
		return;
	}
	if (search->found)
		pl_draft_finish(&search->best);
	search->found = true;
	search->best = draft;
	search->option = option;
}

/* Tries shapes in which one memory size holds a unit more or less than in the best one. */
static void pl_try_neighbours(struct pl_search *search, struct pl_candidate *neighbours)
{
	const struct pl_shape start = *search->best.shape;
	int used = 0;

	for (int i = 0; i < 2 * start.sizes; i++) {
		struct pl_shape *shape = &neighbours[used].shape;
		int change = i % 2 == 0 ? start.unit : -start.unit;
		int length = start.lengths[i / 2] + change;

		if (length <= 0 || length > start.engine->layers ||
		    length * start.engine->layer_mb >= start.memory_mb[i / 2])
			continue;
		*shape = start;
		shape->lengths[i / 2] = length;
		pl_try_shape(search, shape);
		used++;
	}
}

/* Tries the shapes with the highest bounds, and the neighbours of the best of them. */
static void pl_search_run(struct pl_search *search, struct pl_candidate *candidates)
{
	const struct pl_draft *usual = search->usual;
	bool many = usual->n >= PL_MANY_NODES;
	int count = pl_list_candidates(usual->shape->engine, usual->nodes, usual->n, candidates);
	int judged = many ? MIN(count, (int)PL_JUDGED_MAX_MANY) : count;

	for (int i = 0; i < judged; i++)
		pl_try_shape(search, &candidates[i].shape);
	if (search->found && !many)
		pl_try_neighbours(search, &candidates[PL_PARTS]);
}

/* Returns whether the option is used instead of the usual one, as far as their stages go. */
static bool pl_is_short_enough(const struct pl_option *option, const struct pl_option *usual)
{
	if (pl_has_gap(usual) || option->stages <= usual->stages * pl_stages_ratio_max)
		return true;
	return option->stages <= usual->stages * pl_longer_stages_ratio_max &&
	       option->rate >= usual->rate * pl_longer_rate_ratio_min;
}

bool pl_is_used_instead(const struct pl_option *option, const struct pl_option *usual)
{
	return pl_is_eligible(option, usual) && pl_is_short_enough(option, usual);
}

/*
 * Replaces the draft of the usual shape by the best one, unless its pipelines are too long: where
 * the usual plan bears all that callers ask for, longer ones would only be slower, and a lost or
 * slow endpoint would affect more requests. The candidates, which the draft then refers to, must
 * outlive it.
 */
static void pl_draft_improve(struct pl_draft *draft, const struct pl_demand *demand,
			     struct pl_candidate *candidates, struct pl_verdict *verdict)
{
	struct pl_search search = {.usual = draft, .demand = demand};

	pl_judge_draft(draft, draft->shape->engine, demand, &search.usual_option);
	pl_search_run(&search, candidates);
	verdict->judged = true;
	verdict->options = search.tried;
	verdict->usual = search.usual_option;
	verdict->chosen = search.usual_option;
	if (!search.found)
		return;
	verdict->best = search.option;
	if (!pl_is_used_instead(&search.option, &search.usual_option)) {
		pl_draft_finish(&search.best);
		return;
	}
	verdict->chosen = search.option;
	pl_draft_finish(draft);
	*draft = search.best;
}

void pl_choose_plan(const struct rt_engine *engine, const struct pl_node *nodes, const int *order,
		    int n, const struct pl_demand *demand, GArray *moves,
		    struct pl_verdict *verdict)
{
	struct pl_candidate *candidates = g_new0(struct pl_candidate, PL_CANDIDATES_MAX);
	struct pl_shape usual;
	struct pl_draft draft;

	memset(verdict, 0, sizeof(*verdict));
	pl_draft_usual(&draft, engine, nodes, order, n, &usual);
	if (n <= PL_JUDGED_NODES_MAX && jdg_can_judge(engine))
		pl_draft_improve(&draft, demand, candidates, verdict);
	pl_draft_append_moves(&draft, moves);
	pl_draft_finish(&draft);
	g_free(candidates);
}
