#include "place/worth.h"

#include <string.h>

/* Speed below which a layer is as good as not held, as a part of the usual one. */
static const double pw_least = 0.005;

/*
 * Weights of what all zones give to a layer, and of what one zone gives by itself. With three
 * zones, what each has for itself counts most: a copy of the model in each zone is worth more than
 * three copies in one. Counting what is left after losses instead made the value of answers in time
 * fall from 0.69 to 0.47 on days with failures: endpoints that are alike were put beside each
 * other.
 */
static const double pw_all_weight = 2.0;
static const double pw_zone_weight = 1.0;

static int pw_zone(struct pw_board *board, const char *zone)
{
	for (int i = 0; i < board->zones; i++) {
		if (strcmp(board->zone_names[i], zone) == 0)
			return i;
	}
	if (board->zones == PW_ZONES_MAX)
		return 0;
	board->zone_names[board->zones] = zone;
	return board->zones++;
}

static double pw_pace(const struct pl_node *node)
{
	return MAX(node->pace, 0.01);
}

void pw_init(struct pw_board *board, const struct rt_engine *engine, const struct pl_node *nodes,
	     int n)
{
	memset(board, 0, sizeof(*board));
	board->engine = engine;
	board->nodes = nodes;
	board->layer_count = MIN(engine->layers, (int)PW_LAYERS_MAX);
	board->zone_of = g_new0(int, (gsize)n + 1);
	for (int i = 0; i < n; i++) {
		board->zone_of[i] = pw_zone(board, nodes[i].zone);
		board->all_speed += 1 / pw_pace(&nodes[i]);
	}
	board->zone_speeds = g_new0(double, (gsize)(board->zones * board->layer_count) + 1);
	for (int i = 0; i < n; i++)
		pw_add(board, i, nodes[i].from, nodes[i].to);
}

void pw_finish(struct pw_board *board)
{
	g_free(board->zone_speeds);
	g_free(board->zone_of);
}

/* What the node gives to each layer of a range of that length. */
static double pw_speed(const struct pw_board *board, int node, int length)
{
	if (length <= 0)
		return 0;
	return (double)board->layer_count / length / pw_pace(&board->nodes[node]) /
	       board->all_speed;
}

static double *pw_zone_speed(const struct pw_board *board, int node, int layer)
{
	return &board->zone_speeds[board->zone_of[node] * board->layer_count + layer];
}

/*
 * Requests begin at the first layer. An endpoint that takes few of them holds it in vain, and where
 * all others are like it nothing is served, though each layer has its holders.
 */
static bool pw_is_in_vain(const struct pw_board *board, int node, int layer)
{
	return layer == 0 && board->nodes[node].limited;
}

static void pw_change(struct pw_board *board, int node, int from, int to, int sign)
{
	double speed = pw_speed(board, node, to - from) * sign;
	double room = pl_token_room(board->engine, board->nodes[node].memory_mb, to - from) * sign;

	for (int i = MAX(from, 0); i < MIN(to, board->layer_count); i++) {
		if (pw_is_in_vain(board, node, i))
			continue;
		board->layers[i].holders += sign;
		board->layers[i].speed += speed;
		board->layers[i].room += room;
		*pw_zone_speed(board, node, i) += speed;
	}
}

void pw_add(struct pw_board *board, int node, int from, int to)
{
	pw_change(board, node, from, to, 1);
}

void pw_remove(struct pw_board *board, int node, int from, int to)
{
	pw_change(board, node, from, to, -1);
}

static double pw_all_cost(double speed)
{
	return pw_all_weight / (pw_least + MAX(speed, 0));
}

static double pw_zone_cost(double speed)
{
	return pw_zone_weight / (pw_least + MAX(speed, 0));
}

double pw_cost(const struct pw_board *board)
{
	double cost = 0;

	for (int i = 0; i < board->layer_count; i++)
		cost += pw_all_cost(board->layers[i].speed);
	for (int i = 0; i < board->zones * board->layer_count; i++)
		cost += pw_zone_cost(board->zone_speeds[i]);
	return cost;
}

int pw_thinnest(const struct pw_board *board)
{
	int thinnest = 0;

	for (int i = 1; i < board->layer_count; i++) {
		if (board->layers[i].room < board->layers[thinnest].room)
			thinnest = i;
	}
	return thinnest;
}

/* By how much the cost falls if the node gives that speed to the layer. */
static double pw_gain(const struct pw_board *board, int node, int layer, double speed)
{
	double all = board->layers[layer].speed;
	double in_zone = *pw_zone_speed(board, node, layer);

	return pw_all_cost(all) - pw_all_cost(all + speed) + pw_zone_cost(in_zone) -
	       pw_zone_cost(in_zone + speed);
}

double pw_best_range(const struct pw_board *board, int node, int length, int unit, int *from)
{
	double speed = pw_speed(board, node, length);
	double sums[PW_LAYERS_MAX + 1] = {0}; /* gains of all layers before */
	double best = 0;

	for (int i = 0; i < board->layer_count; i++)
		sums[i + 1] = sums[i] + pw_gain(board, node, i, speed);
	*from = -1;
	for (int start = 0; start + length < board->layer_count + unit; start += unit) {
		double gain = sums[MIN(start + length, board->layer_count)] - sums[start];

		if (gain > best * (1 + 1e-9)) {
			best = gain;
			*from = start;
		}
	}
	return best;
}
