#include "conf/conf_int.h"
#include "base/addr.h"

#include <stdlib.h>

enum {
	CONF_LAYERS_MAX = 1024,	     /* maximum number of layers of a model */
	CONF_NUMBER_MAX = 1000000000 /* greatest value of most numeric attributes */
};

static const char *conf_set_number(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_name(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_models(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_address(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_addresses(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_layers(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_secret(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_yes_no(struct conf_obj *obj, int attr, struct str text);
static const char *conf_set_state(struct conf_obj *obj, int attr, struct str text);

/* Parses text into an attribute; returns NULL, or a description of the expected value. */
typedef const char *(*conf_set_fn)(struct conf_obj *obj, int attr, struct str text);

static const conf_set_fn conf_setters[] = {
	[CONF_TYPE_NUMBER] = conf_set_number,	    [CONF_TYPE_NAME] = conf_set_name,
	[CONF_TYPE_MODELS] = conf_set_models,	    [CONF_TYPE_ADDRESS] = conf_set_address,
	[CONF_TYPE_ADDRESSES] = conf_set_addresses, [CONF_TYPE_LAYERS] = conf_set_layers,
	[CONF_TYPE_SECRET] = conf_set_secret,	    [CONF_TYPE_YES_NO] = conf_set_yes_no,
	[CONF_TYPE_STATE] = conf_set_state,
};

static const struct conf_attr conf_account_attrs[] = {
	[ACCOUNT_SHARE] = {"share", CONF_TYPE_NUMBER, "1", 1, CONF_NUMBER_MAX},
	[ACCOUNT_MODELS] = {"models", CONF_TYPE_MODELS, NULL, 0, 0},
	[ACCOUNT_LIMIT] = {"limit", CONF_TYPE_NUMBER, "1000", 1, CONF_NUMBER_MAX},
	[ACCOUNT_QUEUE] = {"queue", CONF_TYPE_NUMBER, "100", 1, CONF_NUMBER_MAX},
	[ACCOUNT_MAX_TOKENS] = {"max-tokens", CONF_TYPE_NUMBER, "4096", 1, CONF_NUMBER_MAX},
	[ACCOUNT_TOKEN] = {"token", CONF_TYPE_SECRET, NULL, 0, 0},
};

static const struct conf_attr conf_operator_attrs[] = {
	[OPERATOR_TOKEN] = {"token", CONF_TYPE_SECRET, NULL, 0, 0},
};

static const struct conf_attr conf_model_attrs[] = {
	[MODEL_LAYERS] = {"layers", CONF_TYPE_NUMBER, NULL, 1, CONF_LAYERS_MAX},
	[MODEL_VERSION] = {"version", CONF_TYPE_NAME, NULL, 0, 0},
	[MODEL_ACTIVATION] = {"activation", CONF_TYPE_NUMBER, "8192", 1, CONF_NUMBER_MAX},
};

static const struct conf_attr conf_endpoint_attrs[] = {
	[ENDPOINT_ADDRESS] = {"address", CONF_TYPE_ADDRESS, NULL, 0, 0},
	[ENDPOINT_POOL] = {"pool", CONF_TYPE_NAME, NULL, 0, 0},
	[ENDPOINT_ZONE] = {"zone", CONF_TYPE_NAME, NULL, 0, 0},
	[ENDPOINT_MODEL] = {"model", CONF_TYPE_NAME, NULL, 0, 0},
	[ENDPOINT_VERSION] = {"version", CONF_TYPE_NAME, NULL, 0, 0},
	[ENDPOINT_LAYERS] = {"layers", CONF_TYPE_LAYERS, NULL, 0, CONF_LAYERS_MAX - 1},
	[ENDPOINT_RATE] = {"rate", CONF_TYPE_NUMBER, "1000", 1, CONF_NUMBER_MAX},
	[ENDPOINT_SLOTS] = {"slots", CONF_TYPE_NUMBER, "64", 1, CONF_NUMBER_MAX},
	[ENDPOINT_KIND] = {"kind", CONF_TYPE_NAME, "any", 0, 0},
	[ENDPOINT_FENCING] = {"fencing", CONF_TYPE_YES_NO, "no", 0, 0},
	[ENDPOINT_STATE] = {"state", CONF_TYPE_STATE, "admitted", 0, 0},
};

static const struct conf_attr conf_link_attrs[] = {
	[LINK_FROM] = {"from", CONF_TYPE_NAME, NULL, 0, 0},
	[LINK_TO] = {"to", CONF_TYPE_NAME, NULL, 0, 0},
	[LINK_BANDWIDTH] = {"bandwidth", CONF_TYPE_NUMBER, NULL, 1, INT64_C(1000000000000)},
};

static const struct conf_attr conf_service_attrs[] = {
	[SERVICE_ADDRESS] = {"address", CONF_TYPE_ADDRESSES, NULL, 0, 0},
	[SERVICE_IDEMPOTENT] = {"idempotent", CONF_TYPE_YES_NO, "no", 0, 0},
};

static const struct conf_attr conf_host_attrs[] = {
	[HOST_STATE] = {"state", CONF_TYPE_STATE, "admitted", 0, 0},
};

#define CONF_SCHEMA(name, attrs)                                                                   \
	{                                                                                          \
		name, attrs, G_N_ELEMENTS(attrs)                                                   \
	}

static const struct conf_schema conf_schemas[CONF_KIND_COUNT] = {
	[CONF_ACCOUNT] = CONF_SCHEMA("account", conf_account_attrs),
	[CONF_OPERATOR] = CONF_SCHEMA("operator", conf_operator_attrs),
	[CONF_MODEL] = CONF_SCHEMA("model", conf_model_attrs),
	[CONF_ENDPOINT] = CONF_SCHEMA("endpoint", conf_endpoint_attrs),
	[CONF_LINK] = CONF_SCHEMA("link", conf_link_attrs),
	[CONF_SERVICE] = CONF_SCHEMA("service", conf_service_attrs),
	[CONF_HOST] = CONF_SCHEMA("host", conf_host_attrs),
};

const struct conf_schema *conf_schema(enum conf_kind kind)
{
	return &conf_schemas[kind];
}

const char *conf_kind_name(enum conf_kind kind)
{
	return conf_schemas[kind].name;
}

enum conf_kind conf_kind_from_name(struct str name)
{
	int kind;

	for (kind = 0; kind < CONF_KIND_COUNT; kind++) {
		if (str_eq_cstr(name, conf_schemas[kind].name))
			break;
	}
	return kind;
}

const char *conf_attr_name(enum conf_kind kind, int attr)
{
	if (attr >= conf_schemas[kind].attr_count)
		return NULL;
	return conf_schemas[kind].attrs[attr].name;
}

const char *conf_attr_set(struct conf_obj *obj, int attr, struct str text)
{
	const struct conf_attr *schema = &conf_schemas[obj->kind].attrs[attr];
	const char *expected = conf_setters[schema->type](obj, attr, text);

	if (expected)
		return expected;
	g_free(obj->text[attr]);
	obj->text[attr] = str_dup(text);
	return NULL;
}

static const char *conf_set_number(struct conf_obj *obj, int attr, struct str text)
{
	const struct conf_attr *schema = &conf_schemas[obj->kind].attrs[attr];
	uint64_t value;

	if (!str_to_u64(text, &value) || value > (uint64_t)schema->max ||
	    (int64_t)value < schema->min)
		return "a whole number within the limits of this attribute";
	obj->value[attr] = (int64_t)value;
	return NULL;
}

/*
 * Uses memchr() because strchr() would also match the NUL that terminates its list of characters,
 * and so accept a name that contains a NUL.
 */
bool conf_is_valid_name(struct str text)
{
	static const char others[] = {'.', '_', '-'};

	if (text.len == 0 || text.len > CONF_NAME_MAX)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (!g_ascii_isalnum(text.data[i]) && !memchr(others, text.data[i], sizeof(others)))
			return false;
	}
	return true;
}

static const char *conf_set_name(struct conf_obj *obj, int attr, struct str text)
{
	(void)obj;
	(void)attr;
	return conf_is_valid_name(text) ? NULL : "a word of letters, digits, '.', '_' and '-'";
}

/*
 * Calls fn for each item of a comma-separated list. Stops at the first item that fn rejects and
 * returns fn's description of the expected value; returns NULL if fn accepts every item.
 */
static const char *conf_check_list(struct str text, const char *(*fn)(struct str))
{
	size_t start = 0;

	for (size_t i = 0; i <= text.len; i++) {
		const char *expected;

		if (i < text.len && text.data[i] != ',')
			continue;
		expected = fn(str_make(text.data + start, i - start));
		if (expected)
			return expected;
		start = i + 1;
	}
	return NULL;
}

/* Checks a model or one version of it: MODEL or MODEL@VERSION. */
static const char *conf_check_model_name(struct str part)
{
	const char *at = memchr(part.data, '@', part.len);
	struct str model = part;

	if (at) {
		model.len = (size_t)(at - part.data);
		if (!conf_is_valid_name(str_make(at + 1, part.len - model.len - 1)))
			return "a version after the @";
	}
	return conf_is_valid_name(model) ? NULL
					 : "MODEL or MODEL@VERSION with commas between, or *";
}

static const char *conf_check_address(struct str part)
{
	struct sockaddr_in sin;
	char *copy = str_dup(part);
	int err = addr_parse(copy, &sin);

	g_free(copy);
	return err < 0 ? "IP:PORT" : NULL;
}

static const char *conf_set_models(struct conf_obj *obj, int attr, struct str text)
{
	(void)obj;
	(void)attr;
	if (str_eq_cstr(text, "*"))
		return NULL;
	return conf_check_list(text, conf_check_model_name);
}

static const char *conf_set_address(struct conf_obj *obj, int attr, struct str text)
{
	(void)obj;
	(void)attr;
	return conf_check_address(text);
}

static const char *conf_set_addresses(struct conf_obj *obj, int attr, struct str text)
{
	(void)obj;
	(void)attr;
	return conf_check_list(text, conf_check_address);
}

static const char *conf_set_layers(struct conf_obj *obj, int attr, struct str text)
{
	static const char *const expected = "layers FIRST-LAST, counted from 0";
	const char *dash = memchr(text.data, '-', text.len);
	uint64_t first;
	uint64_t last;

	if (!dash)
		return expected;
	if (!str_to_u64(str_make(text.data, (size_t)(dash - text.data)), &first))
		return expected;
	if (!str_to_u64(str_make(dash + 1, (size_t)(text.data + text.len - dash - 1)), &last))
		return expected;
	if (first > last || last >= CONF_LAYERS_MAX)
		return expected;
	obj->value[attr] = (int64_t)first;
	obj->last_layer = (int64_t)last;
	return NULL;
}

static const char *conf_set_secret(struct conf_obj *obj, int attr, struct str text)
{
	(void)obj;
	(void)attr;
	if (!memchr(text.data, ':', text.len))
		return "SALT:HASH as 'bgctl secret' prints it";
	return NULL;
}

static const char *conf_set_yes_no(struct conf_obj *obj, int attr, struct str text)
{
	if (!str_eq_cstr(text, "yes") && !str_eq_cstr(text, "no"))
		return "yes or no";
	obj->value[attr] = str_eq_cstr(text, "yes");
	return NULL;
}

static const char *conf_set_state(struct conf_obj *obj, int attr, struct str text)
{
	if (!str_eq_cstr(text, "admitted") && !str_eq_cstr(text, "draining"))
		return "admitted or draining";
	obj->value[attr] = str_eq_cstr(text, "draining");
	return NULL;
}
