#include "fake/sim.h"

#include <string.h>

enum {
	USEC_PER_SEC = 1000000,
	SIM_BITS_PER_BYTE = 8
};

/* Fixed fraction of the duration of a full step, whatever the size of the batch. */
static const double sim_step_base = 0.3;

static void sim_enqueue(struct sim_run *run);
static void sim_begin_step(struct sim_endpoint *endpoint, struct sim *sim);
static void sim_on_step(void *ctx, int64_t now_us);
static void sim_on_hop(void *ctx, int64_t now_us);
static void sim_finish_stage(struct sim_run *run);
static void sim_finish_token(struct sim_run *run);
static void sim_end(struct sim_run *run, enum sim_run_state state);

struct sim_step_ctx {
	struct sim *sim;
	struct sim_endpoint *endpoint;
};

void sim_init(struct sim *sim, struct loop *loop, const struct sim_ops *ops, void *ctx)
{
	memset(sim, 0, sizeof(*sim));
	sim->loop = loop;
	sim->ops = ops;
	sim->ctx = ctx;
	sim->endpoints = g_ptr_array_new();
	sim->links = g_hash_table_new(g_str_hash, g_str_equal);
	sim->runs = g_hash_table_new(g_str_hash, g_str_equal);
	sim->ledger = g_hash_table_new(g_str_hash, g_str_equal);
	sim->ledger_order = g_ptr_array_new();
}

static void sim_add_endpoint(void *ctx, const struct conf_obj *obj)
{
	struct sim *sim = ctx;
	struct sim_endpoint *e = g_new0(struct sim_endpoint, 1);

	e->name = g_strdup(obj->name);
	e->address = g_strdup(obj->text[ENDPOINT_ADDRESS]);
	e->model = g_strdup(obj->text[ENDPOINT_MODEL]);
	e->version = g_strdup(obj->text[ENDPOINT_VERSION]);
	e->first = (int)obj->value[ENDPOINT_LAYERS];
	e->last = (int)obj->last_layer;
	e->rate = obj->value[ENDPOINT_RATE];
	e->slots = (int)obj->value[ENDPOINT_SLOTS];
	e->fencing = obj->value[ENDPOINT_FENCING] != 0;
	e->slowdown = 1;
	e->waiting = g_queue_new();
	e->batch = g_ptr_array_new();
	g_ptr_array_add(sim->endpoints, e);
}

static void sim_add_link(void *ctx, const struct conf_obj *obj)
{
	struct sim *sim = ctx;
	struct sim_link *link = g_new0(struct sim_link, 1);
	char *key = g_strdup_printf("%s %s", obj->text[LINK_FROM], obj->text[LINK_TO]);

	link->token_us = sim->activation * USEC_PER_SEC / MAX(obj->value[LINK_BANDWIDTH], 1);
	g_hash_table_replace(sim->links, key, link);
}

static void sim_set_activation(void *ctx, const struct conf_obj *obj)
{
	((struct sim *)ctx)->activation = obj->value[MODEL_ACTIVATION];
}

void sim_add_declarations(struct sim *sim, const struct conf_state *conf)
{
	conf_for_each(conf, CONF_MODEL, sim_set_activation, sim);
	conf_for_each(conf, CONF_ENDPOINT, sim_add_endpoint, sim);
	conf_for_each(conf, CONF_LINK, sim_add_link, sim);
}

struct sim_endpoint *sim_find_endpoint(const struct sim *sim, const char *name)
{
	for (guint i = 0; i < sim->endpoints->len; i++) {
		struct sim_endpoint *e = sim->endpoints->pdata[i];

		if (strcmp(e->name, name) == 0)
			return e;
	}
	return NULL;
}

struct sim_ledger *sim_ledger_entry(struct sim *sim, const char *key, const char *request)
{
	char *both = g_strdup_printf("%s %s", key, request);
	struct sim_ledger *entry = g_hash_table_lookup(sim->ledger, both);

	if (entry) {
		g_free(both);
		return entry;
	}
	entry = g_new0(struct sim_ledger, 1);
	entry->key = g_strdup(key);
	entry->request = g_strdup(request);
	g_hash_table_insert(sim->ledger, both, entry);
	g_ptr_array_add(sim->ledger_order, entry);
	return entry;
}

static void sim_run_free(struct sim_run *run)
{
	g_ptr_array_free(run->texts, TRUE);
	g_free(run->failed_at);
	g_free(run->id);
	g_free(run->request);
	g_free(run->key);
	g_free(run);
}

struct sim_run *sim_start_run(struct sim *sim, const struct sim_run_params *params,
			      const struct sim_stage *stages, int count)
{
	char *id = g_strdup_printf("%s-%u", params->request, params->attempt);
	struct sim_run *run = g_hash_table_lookup(sim->runs, id);

	if (run)
		sim_remove_run(run);
	run = g_new0(struct sim_run, 1);
	run->sim = sim;
	run->id = id;
	run->request = g_strdup(params->request);
	run->key = g_strdup(params->key);
	run->attempt = params->attempt;
	run->detached = params->detached;
	run->prompt_hash = params->prompt_hash;
	run->prompt_tokens = params->prompt_tokens;
	run->first_index = params->first_index;
	run->next = params->first_index;
	run->max_tokens = params->max_tokens;
	run->layer_total = params->layer_total;
	run->texts = g_ptr_array_new_with_free_func(g_free);
	memcpy(run->stages, stages, sizeof(*stages) * (size_t)count);
	run->stage_count = count;
	for (int s = 0; s < count; s++)
		run->stages[s].endpoint->running++;
	g_hash_table_insert(sim->runs, run->id, run);
	sim_ledger_entry(sim, run->key, run->request)->attempts++;
	if (run->next >= run->max_tokens)
		sim_end(run, SIM_DONE);
	else
		sim_enqueue(run);
	return run;
}

static void sim_enqueue(struct sim_run *run)
{
	struct sim_endpoint *endpoint = run->stages[run->stage].endpoint;

	g_queue_push_tail(endpoint->waiting, run);
	sim_begin_step(endpoint, run->sim);
}

/* Cost of a run in a step, in generated tokens; its first token includes the prompt. */
static double sim_step_weight(const struct sim *sim, const struct sim_run *run)
{
	if (run->next > run->first_index)
		return 1;
	return 1 + (double)(run->prompt_tokens + (int64_t)run->first_index) /
			   (double)MAX(sim->prefill_divisor, 1);
}

static void sim_begin_step(struct sim_endpoint *endpoint, struct sim *sim)
{
	double full = (double)endpoint->slots / (double)endpoint->rate * USEC_PER_SEC;
	double load = 0;
	struct sim_step_ctx *step;
	int64_t time;

	if (endpoint->dead || endpoint->silent || endpoint->batch->len > 0)
		return;
	while ((int)endpoint->batch->len < endpoint->slots) {
		struct sim_run *run = g_queue_pop_head(endpoint->waiting);

		if (!run)
			break;
		g_ptr_array_add(endpoint->batch, run);
		load += sim_step_weight(sim, run);
	}
	if (endpoint->batch->len == 0)
		return;
	time = (int64_t)(full * endpoint->slowdown *
			 (sim_step_base + (1 - sim_step_base) * load / endpoint->slots));
	endpoint->busy_us += time;
	step = g_new(struct sim_step_ctx, 1);
	step->sim = sim;
	step->endpoint = endpoint;
	tmr_set(&sim->loop->tmr, &endpoint->step, sim->loop->now_us + MAX(time, 1), sim_on_step,
		step);
}

static void sim_on_step(void *ctx, int64_t now_us)
{
	struct sim_step_ctx *step = ctx;
	struct sim_endpoint *endpoint = step->endpoint;
	struct sim *sim = step->sim;
	GPtrArray *batch = endpoint->batch;

	g_free(step);
	sim->loop->now_us = now_us;
	endpoint->batch = g_ptr_array_new();
	for (guint i = 0; i < batch->len; i++) {
		endpoint->passes++;
		sim_finish_stage(batch->pdata[i]);
	}
	g_ptr_array_free(batch, TRUE);
	sim_begin_step(endpoint, sim);
}

/* Queues a token on the link and returns the time until its arrival, in microseconds. */
static int64_t sim_link_delay(struct sim *sim, const struct sim_endpoint *from,
			      const struct sim_endpoint *to)
{
	char *key = g_strdup_printf("%s %s", from->name, to->name);
	struct sim_link *link = g_hash_table_lookup(sim->links, key);

	g_free(key);
	if (!link)
		return 0;
	link->free_us = MAX(link->free_us, sim->loop->now_us) + link->token_us;
	return link->free_us - sim->loop->now_us;
}

/* Completes a stage for the current token, counts layers out of order, and sends the token on. */
static void sim_finish_stage(struct sim_run *run)
{
	const struct sim_stage *stage = &run->stages[run->stage];
	struct sim_ledger *entry = sim_ledger_entry(run->sim, run->key, run->request);
	int64_t delay = run->sim->link_delay_us;

	if (stage->first != run->layers_done || stage->first < stage->endpoint->first ||
	    stage->last > stage->endpoint->last)
		entry->violations++;
	run->layers_done = stage->last + 1;
	if (run->stage + 1 < run->stage_count)
		delay += sim_link_delay(run->sim, stage->endpoint,
					run->stages[run->stage + 1].endpoint);
	tmr_set(&run->sim->loop->tmr, &run->hop, run->sim->loop->now_us + delay, sim_on_hop, run);
}

static void sim_on_hop(void *ctx, int64_t now_us)
{
	struct sim_run *run = ctx;

	run->sim->loop->now_us = now_us;
	run->stage++;
	if (run->stage < run->stage_count)
		sim_enqueue(run);
	else
		sim_finish_token(run);
}

static void sim_finish_token(struct sim_run *run)
{
	struct sim_ledger *entry = sim_ledger_entry(run->sim, run->key, run->request);
	uint64_t hash = str_hash(&run->next, sizeof(run->next), run->prompt_hash);

	if (run->layers_done != run->layer_total)
		entry->violations++;
	entry->tokens++;
	g_ptr_array_add(run->texts, g_strdup_printf("%" G_GUINT64_FORMAT ":%04x ", run->next,
						    (unsigned int)(hash & 0xffff)));
	run->next++;
	run->stage = 0;
	run->layers_done = 0;
	if (run->next >= run->max_tokens) {
		sim_end(run, SIM_DONE);
		return;
	}
	sim_enqueue(run);
	run->sim->ops->changed(run->sim->ctx, run);
}

/* Removes the run from the endpoints on its route. */
static void sim_leave_endpoints(struct sim_run *run)
{
	tmr_cancel(&run->sim->loop->tmr, &run->hop);
	for (int s = 0; s < run->stage_count; s++) {
		struct sim_endpoint *endpoint = run->stages[s].endpoint;

		endpoint->running--;
		g_queue_remove(endpoint->waiting, run);
		g_ptr_array_remove_fast(endpoint->batch, run);
	}
}

static void sim_end(struct sim_run *run, enum sim_run_state state)
{
	if (run->state != SIM_RUNNING)
		return;
	sim_leave_endpoints(run);
	run->state = state;
	run->ended_us = run->sim->loop->now_us;
	run->sim->ops->changed(run->sim->ctx, run);
}

void sim_cancel_run(struct sim_run *run)
{
	sim_end(run, SIM_CANCELED);
}

void sim_remove_run(struct sim_run *run)
{
	sim_end(run, SIM_CANCELED);
	g_hash_table_remove(run->sim->runs, run->id);
	sim_run_free(run);
}

static bool sim_run_uses(const struct sim_run *run, const struct sim_endpoint *endpoint)
{
	for (int s = 0; s < run->stage_count; s++) {
		if (run->stages[s].endpoint == endpoint)
			return true;
	}
	return false;
}

void sim_kill_endpoint(struct sim *sim, struct sim_endpoint *endpoint)
{
	GList *runs = g_hash_table_get_values(sim->runs);

	endpoint->dead = true;
	tmr_cancel(&sim->loop->tmr, &endpoint->step);
	for (GList *l = runs; l; l = l->next) {
		struct sim_run *run = l->data;

		if (run->state != SIM_RUNNING || !sim_run_uses(run, endpoint))
			continue;
		run->failed_at = g_strdup(endpoint->name);
		sim_end(run, SIM_FAILED);
	}
	g_list_free(runs);
	g_ptr_array_set_size(endpoint->batch, 0);
	g_queue_clear(endpoint->waiting);
}

void sim_revive_endpoint(struct sim_endpoint *endpoint)
{
	endpoint->dead = false;
	endpoint->leaving = false;
}

void sim_set_silent(struct sim *sim, struct sim_endpoint *endpoint, bool silent)
{
	endpoint->silent = silent;
	if (!silent)
		sim_begin_step(endpoint, sim);
}
