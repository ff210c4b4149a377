// Shares of priority classes for any demand and any number of free units.
#include "tests/props.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

extern "C" {
#include "core/quota_classes.h"
}

namespace {

// Tolerance of sums and comparisons of doubles.
constexpr double EPSILON = 1e-9;

using Classes = std::array<double, RK_QUOTA_CLASSES>;

// Demand of 0 in some classes, and of very different sizes in the others.
Classes any_demand()
{
    Classes demand{};
    for (double &d : demand)
        if (*rc::gen::inRange(0, 4) != 0)
            d = *rc::gen::inRange(1, 1000) *
                *rc::gen::element(0.001, 1.0, 1000.0, 1e6);
    return demand;
}

double sum_of(const Classes &demand)
{
    return rk_quota_class_sum(demand.data());
}

// From nothing to twice the demand.
double any_free_units(const Classes &demand)
{
    return std::max(1.0, sum_of(demand)) * *rc::gen::inRange(0, 2001) / 1000;
}

Classes shares_of(const Classes &demand, double free_units)
{
    Classes share{};
    rk_quota_class_shares(demand.data(), free_units, share.data());
    return share;
}

// Guards against probabilities that are none, and against a class without its
// floor.
void shares_lie_between_the_floor_and_1()
{
    const Classes demand = any_demand();
    const double free_units = any_free_units(demand), sum = sum_of(demand);
    const double without = free_units < sum ? free_units / sum : 1;
    for (double share : shares_of(demand, free_units)) {
        RC_ASSERT(share <= 1);
        RC_ASSERT(share >= without * RK_QUOTA_CLASS_FLOOR * (1 - EPSILON));
    }
}

// Guards against nodes that admit more than is free, or leave free what is
// requested.
void the_sum_is_what_is_free_or_requested()
{
    const Classes demand = any_demand();
    const double free_units = any_free_units(demand), sum = sum_of(demand);
    const Classes share = shares_of(demand, free_units);
    double admitted = 0;
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        admitted += share[c] * demand[c];
    const double expected = std::min(free_units, sum);
    RC_ASSERT(admitted <= expected * (1 + EPSILON));
    RC_ASSERT(admitted >= expected * (1 - EPSILON));
}

// Guards against a class that gets more than its floor before more urgent ones have
// all they request.
void more_urgent_classes_come_first()
{
    const Classes demand = any_demand();
    const double free_units = any_free_units(demand), sum = sum_of(demand);
    const Classes share = shares_of(demand, free_units);
    const double floor =
        RK_QUOTA_CLASS_FLOOR * (free_units < sum ? free_units / sum : 1);
    for (size_t c = 1; c < RK_QUOTA_CLASSES; c++) {
        RC_ASSERT(share[c] <= share[c - 1] * (1 + EPSILON));
        if (share[c] > floor * (1 + EPSILON))
            RC_ASSERT(share[c - 1] >= 1 - EPSILON);
    }
}

// Guards against a class that gets less when more is free.
void shares_rise_with_the_free_units()
{
    const Classes demand = any_demand();
    const double a = any_free_units(demand), b = any_free_units(demand);
    const Classes less = shares_of(demand, std::min(a, b));
    const Classes more = shares_of(demand, std::max(a, b));
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        RC_ASSERT(less[c] <= more[c] * (1 + EPSILON));
}

// Guards against invalid demand that gets from a peer's row into the sums.
void received_demand_is_valid()
{
    const auto classes = *rc::gen::container<std::vector<float>>(rc::gen::element(
        0.0f, 1.5f, 3e38f, -1.0f, -0.0f, INFINITY, -INFINITY, NAN));
    const double sum =
        *rc::gen::element(0.0, 7.0, -7.0, 1e300, double(INFINITY), double(NAN));
    Classes demand{};
    rk_quota_class_decode(sum, classes.data(), classes.size(), demand.data());
    for (double d : demand)
        RC_ASSERT(std::isfinite(d) && d >= 0);
}

} // namespace

int main()
{
    return run_properties({
        {"shares_lie_between_the_floor_and_1", shares_lie_between_the_floor_and_1},
        {"the_sum_is_what_is_free_or_requested",
         the_sum_is_what_is_free_or_requested},
        {"more_urgent_classes_come_first", more_urgent_classes_come_first},
        {"shares_rise_with_the_free_units", shares_rise_with_the_free_units},
        {"received_demand_is_valid", received_demand_is_valid},
    });
}
