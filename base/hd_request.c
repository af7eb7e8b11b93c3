#include "base/hd_int.h"

#include <ck_pr.h>
#include <microhttpd.h>

void hd_set_owner(struct hd_call *call, void *owner)
{
	call->owner = owner;
}

void *hd_owner(const struct hd_call *call)
{
	return call->owner;
}

const char *hd_method(const struct hd_call *call)
{
	return call->method;
}

const char *hd_target(const struct hd_call *call)
{
	return call->target;
}

struct hd_header_iter {
	hd_header_fn fn;
	void *ctx;
};

static enum MHD_Result hd_on_header(void *ctx, enum MHD_ValueKind kind, const char *name,
				    const char *value)
{
	struct hd_header_iter *iter = ctx;

	(void)kind;
	iter->fn(iter->ctx, name, value ? value : "");
	return MHD_YES;
}

void hd_each_header(struct hd_call *call, hd_header_fn fn, void *ctx)
{
	struct hd_header_iter iter = {fn, ctx};

	MHD_get_connection_values(call->conn, MHD_HEADER_KIND, hd_on_header, &iter);
}

const char *hd_path(const struct hd_call *call)
{
	return call->path;
}

const char *hd_header(struct hd_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->conn, MHD_HEADER_KIND, name);
}

const char *hd_query(struct hd_call *call, const char *name)
{
	char *value = hd_query_value(call->target, name);

	if (value)
		g_ptr_array_add(call->query_values, value);
	return value;
}

static void hd_release_body(void *ctx)
{
	hd_unref(ctx);
}

GBytes *hd_share_body(struct hd_call *call)
{
	ck_pr_inc_uint(&call->refs);
	return g_bytes_new_with_free_func(call->body->str, call->body->len, hd_release_body, call);
}

const char *hd_body(const struct hd_call *call, size_t *len)
{
	*len = call->body->len;
	return call->body->str;
}

int hd_local_port(const struct hd_call *call)
{
	return call->port;
}
