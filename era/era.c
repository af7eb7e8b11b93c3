#include "era/era.h"

static int64_t era_pack(int64_t era, int64_t number, int bits)
{
	if (number < 0)
		return ERA_NONE;
	return era << bits | (number & ((INT64_C(1) << bits) - 1));
}

static int64_t era_upper_bits(int64_t packed, int bits)
{
	return packed < 0 ? ERA_NONE : packed >> bits;
}

static int64_t era_lower_bits(int64_t packed, int bits)
{
	return packed < 0 ? ERA_NONE : packed & ((INT64_C(1) << bits) - 1);
}

int64_t era_make_place(int64_t era, int64_t offset)
{
	return era_pack(era, offset, ERA_OFFSET_BITS);
}

int64_t era_of_place(int64_t place)
{
	return era_upper_bits(place, ERA_OFFSET_BITS);
}

int64_t era_offset_of_place(int64_t place)
{
	return era_lower_bits(place, ERA_OFFSET_BITS);
}

int64_t era_make_fence(int64_t era, int64_t generation)
{
	return era_pack(era, generation, ERA_GENERATION_BITS);
}

int64_t era_of_fence(int64_t fence)
{
	return era_upper_bits(fence, ERA_GENERATION_BITS);
}

int64_t era_generation_of_fence(int64_t fence)
{
	return era_lower_bits(fence, ERA_GENERATION_BITS);
}

enum era_change era_update(struct era *era, int64_t reported)
{
	bool first = !era->known;

	if (reported < 0 || reported > ERA_MAX)
		return ERA_UNCHANGED;
	if (!first && reported < era->now)
		return ERA_OUTDATED;
	if (!first && reported == era->now)
		return ERA_UNCHANGED;
	era->known = true;
	era->now = reported;
	return first ? ERA_INITIAL : ERA_ADVANCED;
}
