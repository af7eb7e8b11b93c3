#include "place/judge.h"
#include "place/coverage.h"

#include <math.h>
#include <string.h>

enum {
	JDG_ROUNDS = 40, /* halvings of the interval in which a rate is searched */
	JDG_PER_KILO = 1000,
	JDG_MS_PER_S = 1000
};

/* Largest rate that is considered, in requests a second. */
static const double jdg_rate_max = 1e6;

/*
 * Weight of the rate after each loss in the rate borne. Half of the weight is on losses of one or
 * two endpoints: they come every few seconds where endpoints fail, and a request that finds no
 * memory is rejected or preempted. A whole zone is lost rarely.
 */
static const double jdg_weights[JDG_LOSSES] = {
	[JDG_CALM] = 0.4, [JDG_ONE] = 0.3, [JDG_PAIR] = 0.2, [JDG_ZONE] = 0.1};

/* A pass that is under way when a request arrives at a stage lasts half of its time on average. */
static const double jdg_passes_per_stage = 1.5;

/* Standard deviations above the mean at which an event is counted as slow; 2 in 100 are slower. */
static const double jdg_slow_deviations = 2;

/* Least part of its time that an engine has for token steps while it reads prompts. */
static const double jdg_step_part_min = 0.05;

/* Sums over the holders of one layer in one availability zone, in tokens of context. */
struct jdg_layer {
	double tokens;	/* memory of all holders */
	double largest; /* memory of the largest holder */
	double second;	/* memory of the second largest holder */
};

/* Memory at the weakest layer of one availability zone, in tokens of context. */
struct jdg_zone {
	double tokens;	  /* nothing lost */
	double after_one; /* after the worst loss of one holder */
	double after_two; /* after the worst loss of two holders of one layer */
};

/* Least part of the pipelines that must reach the end; less means that a layer has no holder. */
static const double jdg_reach_min = 0.99;

/* A placement that is being judged. */
struct jdg_field {
	const struct rt_engine *engine;
	const struct pl_node *nodes;
	int n;
	const struct pl_demand *demand;
	struct coverage coverage;
	struct jdg_zone zones[COV_ZONES_MAX];
	double *tokens; /* memory of each node for requests, in tokens of context */
	double *visits; /* part of the pipelines that pass through each node */
	double stages;	/* mean number of stages of a pipeline; 0 if a layer has no holder */
	double hop_ms;	/* mean delay from stage to stage, in ms */
};

static int jdg_length(const struct pl_node *node)
{
	return node->to - node->from;
}

/* Returns the mean tokens that a request holds: the prompt and half of the answer. */
static double jdg_request_tokens(const struct rt_engine *engine)
{
	return engine->mean_prompt_tokens + engine->mean_answer_tokens / 2;
}

/* Returns the mean number of events of a stream. */
static double jdg_events(const struct rt_engine *engine)
{
	return MAX(engine->mean_answer_tokens / MAX(engine->stride, 1), 1);
}

/* Adds the node to the sums of the layer. */
static void jdg_add_holder(struct jdg_layer *layer, double tokens)
{
	layer->tokens += tokens;
	if (tokens > layer->largest) {
		layer->second = layer->largest;
		layer->largest = tokens;
	} else if (tokens > layer->second) {
		layer->second = tokens;
	}
}

/*
 * Returns the memory of a node that is of use at the first layer: an engine receives no more
 * requests than it has slots, whatever its memory is, and a limited one is not counted there.
 */
static double jdg_first_tokens(const struct jdg_field *field, int node)
{
	const struct rt_engine *engine = field->engine;

	if (field->nodes[node].limited)
		return 0;
	if (engine->slots <= 0)
		return field->tokens[node];
	return MIN(field->tokens[node], engine->slots * jdg_request_tokens(engine));
}

/* Sums the memory of one zone, layer by layer. */
static void jdg_sum_zone(struct jdg_field *field, int zone, struct jdg_layer *layers)
{
	int layer_count = field->coverage.layer_count;
	struct jdg_zone *sums = &field->zones[zone];

	memset(layers, 0, sizeof(*layers) * layer_count);
	for (int i = 0; i < field->n; i++) {
		const struct pl_node *node = &field->nodes[i];

		if (field->coverage.zone_of[i] != zone)
			continue;
		for (int l = MAX(node->from, 0); l < MIN(node->to, layer_count); l++)
			jdg_add_holder(&layers[l],
				       l == 0 ? jdg_first_tokens(field, i) : field->tokens[i]);
	}
	for (int l = 0; l < layer_count; l++) {
		const struct jdg_layer *layer = &layers[l];
		double one = layer->tokens - layer->largest;
		double two = MAX(one - layer->second, 0);

		sums->tokens = l == 0 ? layer->tokens : MIN(sums->tokens, layer->tokens);
		sums->after_one = l == 0 ? one : MIN(sums->after_one, one);
		sums->after_two = l == 0 ? two : MIN(sums->after_two, two);
	}
}

static void jdg_sum_zones(struct jdg_field *field)
{
	struct jdg_layer layers[COV_LAYERS_MAX];

	for (int i = 0; i < field->n; i++)
		field->tokens[i] = pl_context_capacity(field->engine, field->nodes[i].memory_mb,
						       jdg_length(&field->nodes[i]));
	for (int z = 0; z < field->coverage.zones; z++)
		jdg_sum_zone(field, z, layers);
}

/* Returns the most memory that the loss can take from the zones, in tokens of context. */
static double jdg_tokens_lost(const struct jdg_field *field, enum jdg_loss loss)
{
	double most = 0;
	double second = 0; /* largest loss of one holder in another zone than that of most */
	double two = 0;

	for (int z = 0; z < field->coverage.zones; z++) {
		const struct jdg_zone *zone = &field->zones[z];
		double lost = loss == JDG_ZONE ? zone->tokens : zone->tokens - zone->after_one;

		two = MAX(two, zone->tokens - zone->after_two);
		second = MAX(second, MIN(lost, most));
		most = MAX(most, lost);
	}
	if (loss == JDG_CALM)
		return 0;
	return loss == JDG_PAIR ? MAX(two, most + second) : most;
}

/*
 * Returns the memory for pipelines within one zone, over all zones, after the loss. Links between
 * zones carry few prompts, so a zone's weakest layer bounds what it serves.
 */
static double jdg_tokens_left(const struct jdg_field *field, enum jdg_loss loss)
{
	double sum = 0;

	for (int z = 0; z < field->coverage.zones; z++)
		sum += field->zones[z].tokens;
	return MAX(sum - jdg_tokens_lost(field, loss), 0);
}

/* Returns how much a router that has run all layers before this one prefers the node. */
static double jdg_preference(const struct jdg_field *field, int node, int layer)
{
	const struct pl_node *held = &field->nodes[node];

	if (layer < held->from || layer >= held->to || (layer == 0 && held->limited))
		return 0;
	return field->tokens[node] * (held->to - layer) / jdg_length(held);
}

/*
 * Computes which part of the pipelines passes through each node. A pipeline continues, after its
 * first layers, at a holder of the next layer, in proportion to memory and to the part of the range
 * that is still of use.
 */
static void jdg_walk(struct jdg_field *field)
{
	int layer_count = field->coverage.layer_count;
	double reach[COV_LAYERS_MAX + 1] = {[0] = 1}; /* part of the pipelines with a cut there */

	for (int l = 0; l < layer_count; l++) {
		double sum = 0;

		for (int i = 0; i < field->n; i++)
			sum += jdg_preference(field, i, l);
		if (reach[l] <= 0 || sum <= 0)
			continue;
		for (int i = 0; i < field->n; i++) {
			double part = reach[l] * jdg_preference(field, i, l) / sum;

			field->visits[i] += part;
			reach[MIN(field->nodes[i].to, layer_count)] += part;
		}
		field->stages += reach[l];
	}
	if (reach[layer_count] < jdg_reach_min)
		field->stages = 0;
}

/* Returns the time of a pass of the node at that rate of requests, in ms. */
static double jdg_pass_ms(const struct jdg_field *field, int node, double rate)
{
	const struct rt_engine *engine = field->engine;
	const struct pl_node *held = &field->nodes[node];
	double part = (double)jdg_length(held) / engine->layers;
	double requests = field->tokens[node] / jdg_request_tokens(engine);
	double running = engine->slots > 0 ? MIN(requests, (double)engine->slots) : requests;
	double writers = running / MAX(field->stages, 1);
	double step = engine->step_ms +
		      writers * (engine->step_ms_per_seq + engine->step_ms_per_context_ktoken *
								   jdg_request_tokens(engine) /
								   JDG_PER_KILO);
	double read_pace = held->read_pace > 0 ? held->read_pace : held->pace;
	double reading = 0;

	if (engine->prompt_tokens_per_ms > 0)
		reading = rate / JDG_MS_PER_S * engine->mean_prompt_tokens * field->visits[node] *
			  part * read_pace / engine->prompt_tokens_per_ms;
	return MAX(engine->stride, 1) * step * held->pace * part /
	       MAX(1 - reading, jdg_step_part_min);
}

/* Stores the mean time of an event at that rate and its time on a slow pipeline, in ms. */
static void jdg_event(const struct jdg_field *field, double rate, double *mean, double *slow)
{
	double sum = 0;
	double squares = 0;

	for (int i = 0; i < field->n; i++) {
		double ms = jdg_passes_per_stage * jdg_pass_ms(field, i, rate) + field->hop_ms;

		if (field->visits[i] <= 0)
			continue;
		sum += field->visits[i] * ms;
		squares += field->visits[i] * ms * ms;
	}
	*mean = sum;
	*slow = sum + jdg_slow_deviations * sqrt(MAX(squares - sum * sum / field->stages, 0));
}

/* Returns whether the field bears that rate with so much memory at its weakest layer. */
static bool jdg_bears(const struct jdg_field *field, double rate, double tokens)
{
	const struct rt_engine *engine = field->engine;
	double mean;
	double slow;
	double stay_s;

	jdg_event(field, rate, &mean, &slow);
	stay_s = mean * (jdg_events(engine) + 1) / JDG_MS_PER_S;
	if (rate * stay_s * jdg_request_tokens(engine) > tokens)
		return false;
	return field->demand->gap_aim_ms <= 0 || slow <= (double)field->demand->gap_aim_ms;
}

/* Returns the largest rate that the field bears with so much memory at its weakest layer. */
static double jdg_rate(const struct jdg_field *field, double tokens)
{
	double low = 0;
	double high = jdg_rate_max;

	if (field->stages <= 0 || tokens <= 0)
		return 0;
	for (int i = 0; i < JDG_ROUNDS; i++) {
		double middle = (low + high) / 2;

		if (jdg_bears(field, middle, tokens))
			low = middle;
		else
			high = middle;
	}
	return low;
}

/* Returns the part of the nodes that another node with an equal range can replace. */
static double jdg_twins(const struct jdg_field *field)
{
	int holders = 0;
	int twins = 0;

	for (int i = 0; i < field->n; i++) {
		bool has_twin = false;

		if (jdg_length(&field->nodes[i]) <= 0)
			continue;
		for (int j = 0; j < field->n; j++) {
			has_twin = has_twin ||
				   (j != i && field->nodes[j].from == field->nodes[i].from &&
				    field->nodes[j].to == field->nodes[i].to);
		}
		holders++;
		twins += has_twin;
	}
	return holders > 0 ? (double)twins / holders : 0;
}

/* Returns the mean delay between two availability zones, in ms; no stage is farther away. */
static double jdg_hop_ms(const struct rt_engine *engine)
{
	double sum = 0;

	for (guint i = 0; engine->delays && i < engine->delays->len; i++)
		sum += g_array_index(engine->delays, struct rt_delay, i).ms;
	return engine->delays && engine->delays->len > 0 ? sum / engine->delays->len : 0;
}

static void jdg_field_init(struct jdg_field *field, const struct rt_engine *engine,
			   const struct pl_node *nodes, int n, const struct pl_demand *demand)
{
	memset(field, 0, sizeof(*field));
	field->engine = engine;
	field->nodes = nodes;
	field->n = n;
	field->demand = demand;
	field->tokens = g_new0(double, (gsize)n + 1);
	field->visits = g_new0(double, (gsize)n + 1);
	field->hop_ms = jdg_hop_ms(engine);
	cov_init(&field->coverage, engine, nodes, n);
	jdg_sum_zones(field);
	jdg_walk(field);
}

static void jdg_field_finish(struct jdg_field *field)
{
	cov_finish(&field->coverage);
	g_free(field->tokens);
	g_free(field->visits);
}

bool jdg_can_judge(const struct rt_engine *engine)
{
	return engine->step_ms > 0 && engine->kv_bytes > 0 && engine->mean_prompt_tokens > 0 &&
	       engine->mean_answer_tokens > 0;
}

void jdg_bear(const struct rt_engine *engine, const struct pl_node *nodes, int n,
	      const struct pl_demand *demand, struct jdg_result *result)
{
	struct jdg_field field;
	double slow_ms;

	memset(result, 0, sizeof(*result));
	jdg_field_init(&field, engine, nodes, n, demand);
	for (int i = 0; i < JDG_LOSSES; i++) {
		result->tokens[i] = jdg_tokens_left(&field, (enum jdg_loss)i);
		result->rate[i] = jdg_rate(&field, result->tokens[i]);
		result->rate_borne += jdg_weights[i] * result->rate[i];
	}
	if (field.stages > 0)
		jdg_event(&field, result->rate_borne, &result->event_ms, &slow_ms);
	result->stages = field.stages;
	result->twins = jdg_twins(&field);
	jdg_field_finish(&field);
}
